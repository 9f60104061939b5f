Feature: Cancellation when the caller disconnects

  Background:
    Given a running deployment

  Scenario: Abandoning a screen cancels the lookups made for it
    Given the targets of records take 3000 ms
    When a screen is requested and its caller disconnects
    Then no call runs at records-1 after 1 s
    And no lookup of the screen ran to completion
