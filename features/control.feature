@simulation
Feature: The control log stays consistent, replaces lost voters and keeps every committed entry
  The simulated fleet has the VMs v1 to v3, which vote, s1, which is a standby, and o1 and o2, which
  have no disk; all serve callers. The group g has three endpoints: a primary and two replicas.
  Endpoints answer every read with all the values that they have; "all" stands for that.

  Background:
    Given a running fleet

  Scenario: A voter that rejoins after a long partition does not depose the leader by a higher term
    When a network partition isolates a voter other than the leader
    And 60 s pass
    And all network partitions heal
    And 0.5 s pass
    Then the control leader and its term are unchanged
    And every VM has the same revision after 3 s

  Scenario: An isolated leader steps down, the majority elects another, and their logs converge
    When a network partition isolates the control leader
    And 3 s pass
    Then another VM is the leader in a higher term
    And the old leader has stepped down and its configuration is not fresh
    When all network partitions heal
    Then every VM has the same revision after 3 s

  Scenario: After a restart of all VMs, a leader is elected soon after a majority of voters has started
    Guards against callers being refused for longer than a restart takes.
    When all VMs are killed and start again, the voters 0.2 s apart, 20 times
    Then each time a leader was elected within 0.2 s of the start of the second voter

  Scenario Outline: Two voters that ask for votes at about the same time elect one of them at once
    Guards against an election timeout without a leader after a restart of all VMs.
    When all VMs are killed and two voters start and ask for votes <gap> s apart
    And 0.1 s pass
    Then one of the two is the leader

    Examples:
      | gap   |
      | 0     |
      | 0.001 |
      | 0.003 |

  Scenario: A lost voter is replaced by a standby, and redundancy is reported as restored only after that
    When a voter other than the leader is killed
    And 10 s pass
    Then s1 is one of three voters and the lost VM is not
    And the timeline records "redundancy_whole" only after the last "voters_changed"

  Scenario: A voter that was replaced during a partition becomes an observer and receives the configuration
    When a network partition isolates a voter other than the leader
    And 10 s pass
    And all network partitions heal
    And 3 s pass
    Then the replaced voter is an observer with a fresh configuration at the leader's revision

  Scenario: The control log accepts changes after one voter was replaced and a second one crashed
    When a voter other than the leader is killed
    And 10 s pass
    And a voter other than the leader is killed
    And 5 s pass
    And the workspace "late" is created with the change id "c9"
    And 1 s pass
    Then the change "c9" was accepted

  Scenario: A voter that lost its disk could vote twice in a term, so it is removed before it takes part again
    When a voter loses its disk and restarts
    And 0.2 s pass
    Then that voter is an observer with an empty log
    When 30 s pass
    Then there are three voters and no learners, and every voter has every entry

  Scenario: Of two operator changes based on the same revision, only one is accepted
    When two operators create the workspaces "left" and "right" from the same revision
    And 1 s pass
    Then one change was accepted and the other failed with "revision_conflict"

  Scenario: A retried change returns its first outcome and is not applied twice
    When the workspace "twice" is created with the change id "c1"
    And 1 s pass
    And the workspace "twice" is created with the change id "c1"
    And 1 s pass
    Then the change "c1" was accepted
    And the operator revision increased by 1

  Scenario: A VM that missed more changes than the history keeps serves no stale configuration, and catches up
    When a network partition isolates o1
    And 600 changes are made
    Then the configuration of o1 is not fresh
    When all network partitions heal
    Then every VM has the same revision after 3 s

  Scenario: A restarted VM refuses requests until a quorum has confirmed its configuration
    When o1 is killed
    And o1 restarts
    And "r" is a read of "all" sent to o1
    Then the result of "r" is "not run: configuration_not_fresh"

  Scenario: A committed change survives the restart of all VMs
    When the workspace "kept" is created with the change id "c1"
    And 1 s pass
    And all VMs are killed and start again
    And 5 s pass
    Then the workspace "kept" exists on every VM

  Scenario: A voter that is cut off only from the leader does not depose it
    When a network partition isolates a voter from the control leader only
    And 10 s pass
    Then the control leader and its term are unchanged

  Scenario: A change of the voters is not accepted while another one is uncommitted
    When two changes of the voters are proposed at the same time
    And 1 s pass
    Then the first change was accepted and the second was not

  Scenario: A VM that receives an older snapshot keeps its newer configuration
    When o1 receives a snapshot of the empty configuration
    Then o1 still has the newest revision
    And no invariant was violated

  Scenario: A control leader whose disk is full is replaced as leader but still serves callers
    When the control leader's disk fills up and a change is proposed
    And 4 s pass
    Then another VM is the leader in a higher term
    When the workspace "late" is created with the change id "c1"
    And 1 s pass
    Then the change "c1" was accepted
    And the old leader serves a read

  Scenario: A candidate whose log is behind gets no vote
    When a candidate with an empty log requests a vote
    Then the vote is not granted

  Scenario: An entry that only an isolated leader has is not applied
    When a network partition isolates the control leader
    And the creation of the workspace "alone" is proposed to the isolated leader
    And 0.3 s pass
    Then the isolated leader has an uncommitted entry and no workspace "alone"

  Scenario: A new control leader changes no voters before it has committed an entry of its term
    Guards against two changes, by two leaders, whose majorities do not overlap.
    When the control leader is killed, and messages are held up once another one leads
    And the new leader is asked to remove a voter
    Then the change is refused at once
