@simulation
Feature: A VM whose disk came back empty is a new member, so nothing acknowledged is lost with one disk
  A voter is a name together with the incarnation of the VM's disk. In the simulated fleet v1 to v3
  vote and s1 is a standby; the control log has recorded its voters.

  Background:
    Given a running fleet whose control log has recorded its voters

  Scenario: An empty disk does not vote after it heard an older list of voters
    Guards against the loss of an acknowledged change together with one disk.
    When a voter freezes until the standby has replaced it, and another one is killed
    And a change is acknowledged
    And the new voter loses its disk, the leader is killed and the frozen voter wakes
    And the new voter starts with its empty disk and hears the woken voter's list of voters
    And the other killed voter starts, and 4 s later the leader
    And 5 s pass
    Then the acknowledged change is in force on every VM
    When 15 s pass
    Then there are three voters and no learners, and every voter has every entry

  Scenario Outline: One disk is lost while all other VMs lose power
    When a change is acknowledged
    And the disk of <lost> is lost and all VMs restart at the same moment
    And <seconds> s pass
    Then the acknowledged change is in force on every VM
    And there are three voters and no learners, and every voter has every entry
    And no VM votes with a lost disk

    Examples:
      | lost       | seconds |
      | the leader | 10      |
      | a follower | 10      |
      | s1         | 4       |

  Scenario: A VM loses its disk again before it has its vote back
    When a voter loses its disk and restarts
    And 1 s pass
    And a change is acknowledged
    And the same VM loses its disk and restarts
    And 15 s pass
    Then the acknowledged change is in force on every VM
    And there are three voters and no learners, and every voter has every entry
    And no VM votes with a lost disk

  Scenario Outline: A new voter loses its disk while the list of voters changes
    When a voter is killed and the control log has <count> voters and <learners> learners
    And s1 loses its disk and all VMs restart
    And a change is acknowledged
    And 20 s pass
    Then the acknowledged change is in force on every VM
    And there are three voters and no learners, and every voter has every entry
    And no VM votes with a lost disk

    Examples:
      | count | learners |
      | 3     | 1        |
      | 4     | 0        |

  Scenario: Without a standby, a VM with an empty disk is a learner and then a voter again
    Given there is no standby
    When a voter loses its disk and restarts
    And 5 s pass
    Then there are three voters and no learners, and every voter has every entry
    And that voter votes with another incarnation than before
    When a change is acknowledged
    And the disk of another voter is lost and all VMs restart at the same moment
    And 8 s pass
    Then the acknowledged change is in force on every VM
    And there are three voters and no learners, and every voter has every entry

  Scenario: A lost disk that is put back is not taken for the one that replaced it
    Given there is no standby
    When a voter loses its disk and restarts
    And 5 s pass
    And a change is acknowledged
    And the lost disk is put back and all VMs restart
    And 10 s pass
    Then the acknowledged change is in force on every VM
    And there are three voters and no learners, and every voter has every entry
    And no VM votes with a lost disk

  Scenario: Messages that were meant for a lost disk are not answered
    Guards against a vote for a candidate that knows only an older list of voters.
    When a voter loses its disk and restarts
    And a candidate asks it for its vote by its name alone
    Then it sends no reply

  Scenario: A reply that was sent from a lost disk does not count for the new one
    Given there is no standby
    When a voter loses its disk and restarts
    And 5 s pass
    And a late reply from the lost disk confirms entry 9999 to the leader
    Then the leader counts at most its own last entry as confirmed by that voter

  Scenario: A vote that was given from a lost disk does not count for the new one
    Given there is no standby
    When a voter loses its disk and restarts
    And 5 s pass
    And a voter is isolated and asks for votes, and a late vote from the lost disk reaches it
    Then that voter does not count it

  Scenario: The only voter with the newest entries can lead although it hears an older list of voters
    Guards against a fleet that stays without a leader.
    When a voter freezes until the standby has replaced it, and another one is killed
    And a change is acknowledged
    And all others are killed, the leader's disk is lost, and the frozen voter wakes
    And the other two voters start, and the new one hears the older list of voters
    And 3 s pass
    Then there is a leader with the acknowledged change
