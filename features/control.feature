@world
Feature: The control log agrees, repairs itself and never goes back
  Background:
    Given a running fleet

  Scenario: A voter that was isolated for long returns without unseating the leader
    When a cut isolates a voter that does not lead
    And 60 s pass
    And all cuts are healed
    And 0.5 s pass
    Then the control leader and its term are those of before
    And every VM has the same revision after 3 s

  Scenario: An isolated leader stops, another leads, and both agree in the end
    When a cut isolates the control leader
    And 3 s pass
    Then another VM leads in a newer term
    And the old leader does not lead
    When all cuts are healed
    Then every VM has the same revision after 3 s

  Scenario: A lost voter is replaced from a standby, and only then redundancy is whole
    When a kill ends a voter that does not lead
    And 10 s pass
    Then s1 votes and the lost voter does not
    And the time line tells "redundancy_whole" after "voters_changed"

  Scenario: A voter that was replaced while it was cut off gets the configuration again
    When a cut isolates a voter that does not lead
    And 10 s pass
    And all cuts are healed
    And 3 s pass
    Then the replaced voter is fresh and takes itself for none

  Scenario: A second voter is lost right after the repair
    When a kill ends a voter that does not lead
    And 10 s pass
    And a kill ends a voter that does not lead
    And 5 s pass
    And the workspace "late" is created with the change "c9"
    And 1 s pass
    Then the change "c9" was accepted

  Scenario: A voter that lost its disk does not vote until it was removed and taken in again
    When a voter loses its disk and starts again
    And 0.2 s pass
    Then that voter takes no part in the control log
    When 30 s pass
    Then three VMs vote and all of them have every entry

  Scenario: Two operators race with the same revision
    When two operators create "left" and "right" on the same revision
    And 1 s pass
    Then one change was accepted and the other got "revision_conflict"

  Scenario: A change that is sent again gives its first outcome
    When the workspace "twice" is created with the change "c1"
    And 1 s pass
    And the workspace "twice" is created with the change "c1"
    And 1 s pass
    Then the change "c1" was accepted
    And the operator revision grew by 1

  Scenario: A VM that was away during hundreds of changes serves nothing old
    When a cut isolates o1
    And 600 changes are made
    Then o1 is not fresh
    When all cuts are healed
    Then every VM has the same revision after 3 s

  Scenario: A restarted VM serves nothing before a quorum confirmed its configuration
    When a kill ends o1
    And a restart brings back o1
    And "r" is a read of "all" sent to o1
    Then the result of "r" is "not run: configuration_not_fresh"

  Scenario: Voters that restart keep every entry
    When the workspace "kept" is created with the change "c1"
    And 1 s pass
    And all VMs are killed and start again
    And 5 s pass
    Then the workspace "kept" exists on every VM

  Scenario: A voter that only lost the leader does not unseat it
    When a voter is cut off from the control leader only
    And 10 s pass
    Then the control leader and its term are those of before

  Scenario: Only one change of the voters is under way at a time
    When two changes of the voters are proposed at once
    And 1 s pass
    Then the first was accepted and the second was not taken

  Scenario: An old snapshot is not taken over
    When o1 receives the configuration as it was at the start
    Then o1 still has the newest revision
    And no invariant was violated

  Scenario: The control leader's disk fills up, and it goes on as an entry
    When the control leader's disk is full
    And 4 s pass
    Then another VM leads in a newer term
    When the workspace "late" is created with the change "c1"
    And 1 s pass
    Then the change "c1" was accepted
    And a read at the old leader is served

  Scenario: A candidate whose log lacks entries gets no vote
    When a voter is asked for its vote by one with an empty log
    Then it does not grant the vote

  Scenario: An entry that only its leader has is not applied
    When a cut isolates the control leader
    And the workspace "alone" is created at the isolated leader
    And 0.3 s pass
    Then the workspace "alone" does not exist on the isolated leader
