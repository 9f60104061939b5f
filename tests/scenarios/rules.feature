Feature: Rules in force

  Background:
    Given a running deployment

  Scenario: A new generation comes into force on every node
    When the next generation of the rules is published
    Then every node has that generation in force within 9 s

  Scenario: A stale or restarted platform does not revert any node
    When the next generation of the rules is published
    Then every node has that generation in force within 9 s
    When the platform reverts to an older generation and restarts
    Then every node still has that generation in force after 3 s

  Scenario: Two operators publish the same generation
    When two documents of the next generation are published one after the other
    Then every node has the same one of the two documents in force within 9 s

  Scenario: Calls are answered while the platform is unavailable
    Given the platform is unavailable
    Then a lookup through the library is answered
    And purchase "r-out" sent to payments-2 as attempt 1 is answered
    And the platform is available again
