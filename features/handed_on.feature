Feature: The control leader learns what the VMs handed on, and of which commits nobody tells

  Background:
    Given a control VM that passes leases on

  Scenario: A report covers what its VM handed on, wherever the commits were confirmed
    When "e1" reports 3.10 handed on
    And "e2" reports 3.12 handed on
    Then the control VM reports 3.12, and covers all commits since its leases are known

  # Guards against a VM that is taken to have handed on nothing, as it says nothing.
  Scenario: A VM that has not reported may hand on commits until its lease expires
    When "e1" reports 3.10 handed on
    And "e2" polls without a report
    Then the control VM covers no commit from before the end of the lease of "e2"

  # Guards against forgetting a VM together with its lease.
  Scenario: A VM whose lease has expired did hand on commits until then
    When "e2" polls without a report
    And 5 s pass on the control VM
    And "e1" reports 3.10 handed on
    Then the control VM covers no commit from before the end of the lease of "e2"
    And the control VM covers the commits of the last second

  # Guards against a report that another start of the same VM gave.
  Scenario: A VM that starts again does not tell what it handed on before
    When 5 s pass on the control VM
    And "e1" starts and reports that it handed on nothing
    Then the control VM covers no commit from before the start of "e1"

  # Guards against a report from before commits that were handed on between two promotions.
  Scenario: A report on an earlier promotion does not count in the next one
    When "e1" reports 3.10 handed on
    And the promotion ends, and the next one begins
    Then the control VM covers no commit from before the end of the lease of "e1"

  # Guards against a control VM that does not know of the leases that it passed on before its start.
  Scenario: A control VM that has just started covers no commit of the leases that it may have passed on
    When "e1" reports 3.10 handed on
    Then the control VM covers no commit from before the end of leases of before its start

  # Guards against a leader that does not know of the leases that the one before passed on.
  Scenario: A new control leader covers no commit of leases that others may have passed on
    When 5 s pass on the control VM
    And the control VM becomes the leader
    And "e1" reports 3.10 handed on
    Then the control VM covers no commit from before the end of leases of before its election

  # Guards against a success whose position is not known.
  Scenario: A commit that was answered without a position is not covered
    When 5 s pass on the control VM
    And the control VM hands on a commit without a position
    And "e1" reports 3.10 handed on
    Then the control VM covers no commit from before now

  Scenario: A report that is passed on between VMs never covers more
    When "e1" reports 3.10 handed on
    And the report of the control VM arrives 0.2 s later at another one
    Then it has 3.10, and covers no commit that the first one did not cover

  Scenario: Polls carry reports only while a promotion is under way
    Then a poll of the control VM carries a report on the group
    When the promotion ends
    Then a poll of the control VM carries no reports

  Scenario: A poll of a VM brings its report to the control VM
    When "e1" polls over the network with a report of 3.10
    Then the control VM has the report of "e1" of 3.10

  Scenario Outline: A poll with an odd report is not answered
    When "e1" polls over the network with the odd report <report>
    Then the poll is refused

    Examples:
      | report             |
      | {"g": 1}           |
      | {"g": [1, 2]}      |
      | {"g": [1, 2, 3]}   |
      | {"g": [1, [3], 1, null]} |
      | {"g": [1, null, "x", null]} |
      | {"g": [1, null, 1, 7]} |
