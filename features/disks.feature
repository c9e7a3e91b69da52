@simulation
Feature: The control log recovers from disks that are full one after another
  While its disk is full, a control VM sends no control messages, but it still answers polls. In the
  simulated fleet v1 to v3 vote and s1 is a standby. A voter that does not answer for 5 s is replaced.

  Background:
    Given a running fleet

  Scenario Outline: Once the disks have room again, there are three voters, and changes are accepted
    When the disk of each control VM in turn is full for <full> s, then has room for <gap> s, while changes are made
    And 12 s pass
    Then there are three voters and no learners, and every voter has every entry
    When the workspace "late" is created with the change id "late"
    And 0.5 s pass
    Then the change "late" was accepted
    When 3 s pass
    Then every change that was accepted is in force on every VM

    Examples:
      | full | gap |
      | 1.0  | 0.0 |
      | 4.0  | 0.3 |
      | 5.1  | 0.3 |
      | 5.2  | 0.0 |
      | 5.3  | 0.0 |
      | 5.4  | 0.3 |
      | 5.5  | 1.0 |
      | 5.75 | 0.3 |
      | 7.0  | 3.0 |

  Scenario: A voter that answers again after its replacement got a vote makes one voter too many, which is removed
    Given the control log has a fourth voter, and every voter answers
    When 3 s pass
    Then there are three voters and no learners, and every voter has every entry

  Scenario: A full disk with a restart in between loses no accepted change
    When the disk of each control VM in turn is full for 4 s and the VM restarts, while changes are made
    And 12 s pass
    Then there are three voters and no learners, and every voter has every entry
    And every change that was accepted is in force on every VM
