Feature: A purchase runs at most once

  Background:
    Given a deployment that serves

  Scenario: A resend gets the answer of the first attempt
    When purchase "p-lost" is sent to payments-1 as attempt 1
    And purchase "p-lost" is sent to payments-1 as attempt 2
    Then both answers to "p-lost" are the same
    And purchase "p-lost" ran once

  Scenario: A resend through another node does not run it again
    When purchase "p-other" is sent to payments-1 as attempt 1
    And purchase "p-other" is sent to payments-2 as attempt 2
    Then both answers to "p-other" are the same
    And purchase "p-other" ran once

  Scenario: Attempts that arrive together run it once
    When purchase "p-both" is sent to payments-1, payments-2 and payments-3 at once
    Then purchase "p-both" ran at most once

  Scenario: A resend without an attempt number does not run it again
    When purchase "p-blank" is sent to payments-1 as attempt 1
    And purchase "p-blank" is sent to payments-3 without an attempt number
    Then purchase "p-blank" ran once

  Scenario: A frozen node does not run what was refused elsewhere
    Given payments-1 is frozen
    When purchase "p-frozen" is sent to payments-1 as attempt 1 and given up on
    And purchase "p-frozen" is sent to payments-2 as attempt 2
    Then "p-frozen" was told unknown with when to come back
    When payments-1 goes on
    And purchase "p-frozen" is sent to payments-2 as attempt 3 until it is answered
    Then purchase "p-frozen" ran at most once

  Scenario: The home of a purchase is killed while it runs
    Given the targets of payments take 800 ms
    When purchase "p-killed" is sent to payments-3 as attempt 1 and the VM is killed
    And purchase "p-killed" is sent to payments-2 as attempt 2
    Then "p-killed" was told unknown with when to come back
    And purchase "p-killed" ran at most once
    When payments-3 is replaced
    And purchase "p-killed" is sent to payments-3 as attempt 3
    Then "p-killed" was told unknown with when to come back
    And purchase "p-killed" ran at most once
