@promotions
Feature: What VMs take for the position of a primary is that of the endpoint that leads
  As in the feature on commits at promotions: VMs h1, h2 and h3, the primary b1, its replicas b2 and
  b3. Reads, and what a promotion compares replicas with, rely on these positions.

  # Guards against reads that are too old: the commit of a transaction that wrote nothing succeeds at a
  # former primary, whose position counted as that of the primary at the time of the commit.
  Scenario Outline: A transaction <end> at the former primary after writes at the new one
    Given a caller at "h1"
    And a caller at "h2"
    When the caller at "h1" sends "BEGIN"
    And 0.1 s pass
    And the caller at "h1" sends "READ x"
    And the control leader no longer reaches the primary
    And "b2" leads
    And "b1" receives nothing from the primary
    And 0.5 s pass
    And the caller at "h2" writes
    And 0.5 s pass
    And the caller at "h1" sends "<text>"
    And 0.05 s pass
    Then the last write succeeded
    And no VM has an observation that lacks an acknowledged write

    Examples:
      | end            | text     |
      | commits        | COMMIT   |
      | is rolled back | ROLLBACK |

  # Guards against the same where the VM does not know of the promotion yet.
  Scenario: A transaction commits at the former primary through a VM that does not know the new one
    Given a caller at "h1"
    And a caller at "h2"
    When the caller at "h1" sends "BEGIN"
    And 0.1 s pass
    And the caller at "h1" sends "READ x"
    And 0.1 s pass
    And "h1" is cut off from the control VMs
    And the control leader no longer reaches the primary
    And "b2" leads
    And "b1" receives nothing from the primary
    And 0.3 s pass
    And the caller at "h2" writes
    And 0.5 s pass
    And the caller at "h1" sends "COMMIT"
    And 0.05 s pass
    Then the last write succeeded
    And no VM has an observation that lacks an acknowledged write

  # Guards against an answer of an endpoint that is not known as the primary, whatever it seems to prove.
  Scenario: An answer that seems to prove that a replica leads is ignored, logged once and counted
    When "b2" answers 3 statements as if it led
    Then no VM has an observation from "b2"
    And "h1" logged 1 "observation_ignored" line, and counts 3 ignored answers

  Scenario: A commit that wrote is observed at the primary
    Given a caller at "h1"
    When the caller at "h1" sends "BEGIN"
    And 0.1 s pass
    And the caller at "h1" sends "WRITE x 1"
    And 0.1 s pass
    And the caller at "h1" sends "COMMIT"
    And 0.005 s pass
    Then the newest observation of "h1" is from "b1", by a statement, and has the commit
