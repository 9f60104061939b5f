Feature: Graceful shutdown

  Background:
    Given a running deployment

  Scenario: A shutdown finishes calls in progress and accepts no new ones
    Given the targets of payments take 800 ms
    When purchase "l-running" is sent to payments-1 as attempt 1 and payments-1 is stopped
    Then "l-running" was answered
    And a lookup through the library is answered while payments-1 drains
    And the node of payments-1 ended with exit code 0

  Scenario: A retry gets the same answer after the home of the purchase shut down
    When purchase "l-kept" is sent to payments-1 as attempt 1
    And payments-1 is stopped and has exited
    And purchase "l-kept" is sent to payments-2 as attempt 2
    Then both answers to "l-kept" are the same
    And purchase "l-kept" ran once

  Scenario: A VM that the platform lists as leaving refuses new calls
    When the platform lists payments-2 as leaving
    Then payments-2 refuses new calls as not run within 3 s

  Scenario: A second signal stops the node at once and logs aborted calls
    Given the targets of payments take 3000 ms
    When purchase "l-cut" is sent to payments-1 as attempt 1 and payments-1 receives two stop signals
    Then the node of payments-1 ended with exit code 1
    And the log of payments-1 names "l-cut" as aborted
