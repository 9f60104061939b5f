Feature: A request that crashes its target

  Background:
    Given a deployment that serves

  Scenario: A lookup takes down at most two targets
    When a lookup that crashes its target is sent 4 times and targets restart
    Then at most 2 targets went down

  Scenario: A purchase takes down at most one target
    When a purchase that crashes its target is sent 3 times and targets restart
    Then at most 1 targets went down

  Scenario: Others in flight at the crash are not condemned
    Given the targets of payments take 300 ms
    When a lookup is in flight while another crashes its target
    Then the innocent lookup is answered when it is sent again
