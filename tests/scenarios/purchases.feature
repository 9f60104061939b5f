Feature: A purchase runs at most once

  Background:
    Given a running deployment

  Scenario: A retry gets the answer of the first attempt
    When purchase "p-lost" is sent to payments-1 as attempt 1
    And purchase "p-lost" is sent to payments-1 as attempt 2
    Then both answers to "p-lost" are the same
    And purchase "p-lost" ran once

  Scenario: A retry through another node does not run it again
    When purchase "p-other" is sent to payments-1 as attempt 1
    And purchase "p-other" is sent to payments-2 as attempt 2
    Then both answers to "p-other" are the same
    And purchase "p-other" ran once

  Scenario: Concurrent attempts run it at most once
    When purchase "p-both" is sent to payments-1, payments-2 and payments-3 at once
    Then purchase "p-both" ran at most once

  Scenario: A retry without an attempt number does not run it again
    When purchase "p-blank" is sent to payments-1 as attempt 1
    And purchase "p-blank" is sent to payments-3 without an attempt number
    Then purchase "p-blank" ran once

  Scenario: A suspended node does not run a purchase refused elsewhere
    Given payments-1 is suspended
    When purchase "p-frozen" is sent to payments-1 as attempt 1 and the caller times out
    And purchase "p-frozen" is sent to payments-2 as attempt 2
    Then "p-frozen" ended as unknown with Retry-After
    When payments-1 resumes
    And purchase "p-frozen" is sent to payments-2 as attempt 3 until it is answered
    Then purchase "p-frozen" ran at most once

  Scenario: The home of a purchase is killed while the purchase runs
    Given the targets of payments take 800 ms
    When purchase "p-killed" is sent to payments-3 as attempt 1 and the VM is killed
    And purchase "p-killed" is sent to payments-2 as attempt 2
    Then "p-killed" ended as unknown with Retry-After
    And purchase "p-killed" ran at most once
    When payments-3 is replaced
    And purchase "p-killed" is sent to payments-3 as attempt 3
    Then "p-killed" ended as unknown with Retry-After
    And purchase "p-killed" ran at most once
