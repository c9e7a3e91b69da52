@promotions
Feature: No VM hands on a commit that the promoted endpoint can lack
  The VMs h1, h2 and h3 serve callers; another one leads the control log. A commit is acknowledged by
  the primary, b1, once one replica has it; b2 and b3 are its replicas. An endpoint leads 0.3 s after
  its promote call.

  # Guards against the loss of a commit that only a replica confirmed which no pause had reached.
  Scenario: A replica that joins during a promotion confirms a commit
    Given a caller at "h1"
    When the control leader no longer reaches the primary
    And the promote call has been made
    And "b4" joins without having announced itself
    And the caller at "h1" writes
    And 5 s pass
    Then another endpoint than "b1" is the primary
    And the endpoint that leads has every acknowledged write

  # Guards against a group that keeps a dead primary: its endpoints ignored pauses of their own term,
  # which no commit had shown yet.
  Scenario: A primary that fails before its first commit is replaced
    Given a caller at "h1"
    When the control leader no longer reaches the primary
    And 4 s pass
    And the control leader no longer reaches "b2" after it was promoted
    And 8 s pass
    Then another endpoint than "b2" is the primary

  # Guards against commits of unknown outcome on a VM that could have refused them before they ran.
  Scenario Outline: A VM that has been out of touch for longer than its lease refuses commits
    Given a caller at "h1"
    And the caller at "h1" has written in a transaction
    When the VM "h1" no longer reaches the control VMs
    And 2.2 s pass
    And the caller at "h1" sends "<statement>"
    And 1 s pass
    Then the last statement was refused as "<code>", and the endpoints ran nothing of it

    Examples:
      | statement | code                    |
      | COMMIT    | transaction_unknown     |
      | ROLLBACK  |                         |

  # Guards against writes of unknown outcome on a VM that could have refused them before they ran.
  Scenario: A VM that has been out of touch for longer than its lease refuses single writes
    Given a caller at "h1"
    When the VM "h1" no longer reaches the control VMs
    And 2.2 s pass
    And the caller at "h1" sends "WRITE x 1"
    And 1 s pass
    Then the last statement was refused as "configuration_not_fresh", and the endpoints ran nothing of it

  # Guards against promotions that keep callers waiting without a figure that shows it.
  Scenario: The metrics tell how many commits wait for a promotion, and how many were left unknown
    Given a caller at "h1"
    When the control leader no longer reaches the primary
    And the promote call has been made
    And "b4" joins without having announced itself
    And the caller at "h1" writes
    And 0.05 s pass
    Then the metrics of "h1" have "gentianspread_withheld_commits" at 1
    And the metrics of "h1" have "gentianspread_groups_in_promotion" at 1
    When 5 s pass
    Then the metrics of "h1" have "gentianspread_withheld_commits" at 0
    And the metrics of "h1" have "gentianspread_groups_in_promotion" at 0
    And the metrics of "h1" count 1 withheld and 1 unknown commits
