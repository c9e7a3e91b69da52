@sessions
Feature: VMs receive the configuration and the list of VMs that serve callers

  Scenario: A voter that is not a seed can be reached after all control VMs were restarted
    Given a VM that knows only the addresses of its seeds
    Then it reaches the voter "10.4.0.7:8708" at "10.4.0.7:8708"

  Scenario: A VM without a configuration receives a snapshot instead of all earlier changes
    When a VM without a configuration polls after 30 changes
    Then it receives a snapshot and no changes
    And the snapshot has no document and no outcomes, but the same keys and workspaces
    And a VM with a disk receives the document

  Scenario: A control VM that has just started does not empty a VM's list of serving VMs
    Given a control leader whose list of serving VMs has "f1" and "f2"
    When a VM without a list polls the control leader
    Then the list of that VM has "f1" and "f2"
    When the VM polls a control VM that has just started
    Then the list of that VM has "f1" and "f2"

  Scenario: A VM that stops is removed from the list, and an unchanged list is not sent again
    Given a control leader whose list of serving VMs has "f1" and "f2"
    When a VM without a list polls the control leader
    Then a second poll returns no list
    When "f2" reports that it stops serving callers
    And a VM without a list polls the control leader
    Then the list of that VM has "f1" and not "f2"

  Scenario: The list has the sizes of the VMs only where they differ
    Guards against extra bytes in fleets of equal VMs; older builds decode the rows by position.
    Given a control leader whose list of serving VMs has "f1" and "f2"
    When "f1" reports a size of 1 and "f2" a size of 1
    Then the list has rows of 3 fields and no sizes
    When "f1" reports a size of 1.25 and "f2" a size of 1.25
    Then the list has rows of 3 fields and no sizes
    When "f1" reports a size of 1.25 and "f2" a size of 1.5
    Then the list has rows of 3 fields and the sizes 1.25 and 1.5
    And a VM of this build takes the sizes from the list, and one of the previous build ignores them

  Scenario: The leader merges the control VMs' lists and keeps a partitioned zone's list for a time
    Given a control leader whose list of serving VMs has "f1" and "f2"
    When another control VM reports that "f7" serves callers
    And a VM without a list polls the control leader
    Then the list of that VM has "f1" and "f7"
    When 5 s pass in which only "f1" polls
    And a VM without a list polls the control leader
    Then the list of that VM has "f1" and "f7"
    When 6 s pass in which only "f1" polls
    And a VM without a list polls the control leader
    Then the list of that VM has "f1" and not "f7"

  Scenario: A VM that only serves callers receives the differences between declarations
    Given a VM that only serves callers and is up to date
    When versions 2 to 6 change keys, a time limit and the workspaces
    And the last version is declared again with other content
    Then the VM catches up with an update of less than 0.3 of the declarations' size
    And it has the same routes, workspaces and keys

  Scenario: A VM that receives a change to a declaration it does not have requests a snapshot
    Given a VM that only serves callers and is up to date
    When it receives a change to another declaration
    Then its configuration is not fresh until its next poll returns a snapshot

  Scenario: Voters poll the leader first, other VMs poll a control VM of their zone first
    Given control VMs "c1", "c2" of zone "z1" and "c3", "c4" of zone "z2", of which "c1", "c3" vote
    When "c3" is the control leader
    Then "c1" polls "c3" first
    And a VM of zone "z1" that serves callers polls "c1" first and "c3" second
    And a VM of zone "z2" that serves callers polls "c3" first and "c4" second

  Scenario: A control VM that has just started answers a poll as soon as it is fresh
    Guards against VMs that back off from a control VM shortly before it can answer them.
    Given a control VM that has just started
    When a VM polls it and it becomes fresh 0.1 s later
    Then the response has the configuration and its age, within 0.2 s

  Scenario: A control VM that is not fresh long after its start answers a poll at once
    Given a control VM that started 5 s ago
    When a VM polls it and it becomes fresh 0.1 s later
    Then the response has no age, within 0.05 s

  # Guards against reads and requests that are served by an outdated configuration.
  Scenario: A control VM that freezes while it builds its answer does not understate its age
    Given a control VM whose clock advances by 5 s while it encodes an entry
    When a VM polls it that lacks an entry
    Then the response does not place the confirmation later than it was

  Scenario: Control VMs that have just started do not wait for each other
    Given a control VM that has just started
    When a control VM polls it and it becomes fresh 0.1 s later
    Then the response has no age, within 0.05 s

  Scenario: A control VM polls the leader as soon as it hears from it
    Guards against a backoff from VMs that were not up yet delaying the whole zone's freshness.
    Given a control VM that has just started
    When its polls fail for 0.8 s and then the leader "c2" makes contact
    Then it polls "c2" within 0.05 s

  Scenario: VMs that know only the same seeds divide their first polls over them
    Guards against a hot spot: after a restart of all VMs, one control VM would send every snapshot.
    Given 90 VMs that know only the same 3 seeds
    Then each seed is polled first by at least 15 of them
