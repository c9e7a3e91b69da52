@promotions
Feature: A withheld commit is never refused as if it had not run
  The VMs h1, h2 and h3 serve callers; another one leads the control log.

  # Guards against a promise that nothing is kept: a VM that was busy for a moment handled the success
  # of a write and the end of the write's time in its queue in one batch.
  Scenario: A write is withheld in the moment in which its time to wait for an endpoint ends
    Given a caller at "h1"
    When the control leader no longer reaches the primary
    And the promote call has been made
    And "b4" joins without having announced itself
    And the caller at "h1" writes
    And the write is withheld at "h1" and its time to wait for an endpoint ends
    And 5 s pass
    Then the write was not refused as one that has not run
