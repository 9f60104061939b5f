Feature: Rules in force

  Background:
    Given a deployment that serves

  Scenario: A new generation comes into force everywhere
    When the next generation of the rules is published
    Then every node has that generation in force within 9 s

  Scenario: A stale or restarted platform moves no node back
    When the next generation of the rules is published
    Then every node has that generation in force within 9 s
    When the platform goes back to an older generation and restarts
    Then every node still has that generation in force after 3 s

  Scenario: Two operators publish one generation
    When two documents of the next generation are published one after the other
    Then every node has the same one of the two in force within 9 s

  Scenario: Nothing stops while the platform is out
    Given the platform is out
    Then a lookup through the library is answered
    And purchase "r-out" sent to payments-2 as attempt 1 is answered
    And the platform is back
