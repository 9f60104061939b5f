Feature: A planned stop

  Background:
    Given a deployment that serves

  Scenario: A stop cuts off nothing in progress and takes nothing new
    Given the targets of payments take 800 ms
    When purchase "l-running" is sent to payments-1 as attempt 1 and payments-1 is stopped
    Then "l-running" was answered
    And a lookup through the library is answered while payments-1 leaves
    And the node of payments-1 ended with exit code 0

  Scenario: A purchase whose home left in order is still answered once
    When purchase "l-kept" is sent to payments-1 as attempt 1
    And payments-1 is stopped and gone
    And purchase "l-kept" is sent to payments-2 as attempt 2
    Then both answers to "l-kept" are the same
    And purchase "l-kept" ran once

  Scenario: A VM that is merely listed as leaving gets no new work
    When the platform lists payments-2 as leaving
    Then payments-2 refuses new calls as not run within 3 s

  Scenario: A second signal ends a stop at once and says what it cuts off
    Given the targets of payments take 3000 ms
    When purchase "l-cut" is sent to payments-1 as attempt 1 and payments-1 is signalled twice
    Then the node of payments-1 ended with exit code 1
    And the log of payments-1 names "l-cut" as cut off
