Feature: A caller that goes away

  Background:
    Given a deployment that serves

  Scenario: An abandoned screen stops the lookups below it at once
    Given the targets of records take 3000 ms
    When a screen is asked for and its caller goes away
    Then no call runs at records-1 after 1 s
    And no lookup of the screen was finished
