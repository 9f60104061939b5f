Feature: A request that crashes its target

  Background:
    Given a running deployment

  Scenario: A lookup crashes at most two targets
    When a lookup that crashes its target is sent 4 times and targets restart
    Then at most 2 targets crashed

  Scenario: A purchase crashes at most one target
    When a purchase that crashes its target is sent 3 times and targets restart
    Then at most 1 targets crashed

  Scenario: Other calls in flight at the crash are not quarantined
    Given the targets of payments take 300 ms
    When a lookup is in flight while another crashes its target
    Then the unrelated lookup is answered when it is retried
