@promotions
Feature: Endpoints that leave or report themselves as primary do not cost acknowledged commits
  As in the feature on commits at promotions: VMs h1, h2 and h3, the primary b1, its replicas b2 and
  b3. An endpoint leads 0.3 s after its promote call.

  # Guards against a promotion that no longer counts what a replica confirmed before it left.
  Scenario: A paused replica leaves while another one has not answered its pause
    When callers at every VM write during the next 12 s
    And the control leader no longer reaches the primary
    And the control leader no longer reaches "b3" once a promotion has begun
    And "b2" has been paused
    And "b2" ends and is deregistered
    And 1 s pass
    And the control leader reaches "b3" again
    And 4 s pass
    And the control leader reaches all endpoints again
    And 9 s pass
    Then the endpoint that leads has every acknowledged write
    And a new write at "h1" succeeds
    And the control log has no promotion under way, and no VM withholds a commit

  # Guards against the promotion of a replica that lacks what only a departed one had confirmed.
  Scenario: The only replica that receives leaves after its pause, and the primary has ended
    Given "b3" receives nothing from the primary
    When callers at every VM write during the next 2 s
    And 3 s pass
    And the control leader no longer reaches "b3"
    And "b1" ends
    And "b2" has been paused
    And "b2" ends and is deregistered
    And 1 s pass
    And the control leader reaches "b3" again
    And 10 s pass
    Then no acknowledged write is lost
    And "b3" does not lead

  # Guards against a promoted endpoint that ends before it leads, while the old primary goes on.
  Scenario Outline: The promoted endpoint <end> before it leads, and the old primary still serves callers
    When callers at every VM write during the next 12 s
    And the control leader no longer reaches the primary
    And the promote call has been made
    And "b2" <end>
    And 4 s pass
    And the control leader reaches all endpoints again
    And 10 s pass
    Then the endpoint that leads has every acknowledged write
    And a new write at "h1" succeeds
    And the control log has no promotion under way, and no VM withholds a commit

    Examples:
      | end                                          |
      | ends and is deregistered                     |
      | starts again and announces itself            |
      | starts again without having announced itself |

  # Guards against the promotion of a replica that lacks what the promoted endpoint, which ended
  # before it led, and the old primary, which had left before, have taken with them.
  Scenario: The promoted endpoint ends before it leads, and the old primary had left
    Given "b2" receives nothing from the primary
    When callers at every VM write during the next 2 s
    And 3 s pass
    And "b1" ends and is deregistered
    And the promote call has been made
    And "b3" ends
    And 12 s pass
    Then no acknowledged write is lost
    And "b2" does not lead

  # Guards against a handover that forgets departed replicas whose commits the new primary lacks.
  Scenario: The only replica that received leaves during a handover
    Given "b3" receives nothing from the primary
    When callers at every VM write during the next 6 s
    And 1 s pass
    And "b1" announces that it leaves
    And the primary has stepped down
    And "b2" ends and is deregistered
    And 12 s pass
    Then the endpoint that leads has every acknowledged write
    And a new write at "h1" succeeds
    And the control log has no promotion under way, and no VM withholds a commit

  # Guards against a replica that joins and leaves again within a promotion and takes commits along.
  Scenario: A replica joins, confirms commits and leaves during a promotion
    When callers at every VM write during the next 8 s
    And the control leader no longer reaches the primary
    And the control leader no longer reaches "b3" once a promotion has begun
    And "b2" has been paused
    And "b4" joins
    And 0.2 s pass
    And "b4" ends and is deregistered
    And the control leader reaches "b3" again
    And 4 s pass
    And the control leader reaches all endpoints again
    And 9 s pass
    Then the endpoint that leads has every acknowledged write
    And a new write at "h1" succeeds

  # Guards against naming the endpoint that an earlier call made the primary, while a newer call may
  # still depose it.
  Scenario Outline: Two promote calls are carried out <first> s and <second> s late
    When callers at every VM write during the next 12 s
    And the next promote call gets no answer and is carried out after <first> s
    And the next promote call gets no answer and is carried out after <second> s
    And the control leader no longer reaches the primary
    And a promote call has been sent
    And "b2" receives nothing from the primary
    And "b3" starts again without having announced itself
    And 16 s pass
    Then another endpoint than "b1" is the primary
    And the endpoint that leads has every acknowledged write
    And a new write at "h1" succeeds
    And the control log has no promotion under way, and no VM withholds a commit

    Examples:
      | first | second |
      | 3     | 1.0    |
      | 3     | 1.1    |
      | 3     | 1.2    |
      | 3     | 1.3    |
      | 3     | 1.4    |
      | 3     | 1.6    |
      | 3     | 2.5    |
      | 4     | 1.6    |
      | 6     | 3      |

  # Guards against confirming the endpoint that leads while the call that deposes it takes effect.
  Scenario Outline: A call is carried out <seconds> s late while another promotion's endpoint reports itself
    When callers at every VM write during the next 14 s
    And the next promote call gets no answer and is carried out after <seconds> s
    And the control leader no longer reaches the primary
    And a promote call has been sent
    And "b2" receives nothing from the primary
    And the control leader no longer reaches "b3"
    And 3 s pass
    And the control leader reaches all endpoints again
    And 14 s pass
    Then the endpoint that leads has every acknowledged write
    And a new write at "h1" succeeds
    And the control log has no promotion under way, and no VM withholds a commit

    Examples:
      | seconds |
      | 2.7     |
      | 2.9     |
      | 3.0     |
      | 3.1     |
      | 3.3     |

  # Guards against the loss of commits that only a replica confirmed after its deregistration, which
  # was received while the replica ran on.
  Scenario: A deregistered replica runs on, and the other one falls behind before the primary ends
    When callers at every VM write during the next 3 s
    And 1 s pass
    And "b3" is deregistered and runs on
    And 0.6 s pass
    And "b2" receives nothing from the primary
    And 0.4 s pass
    And "b3" ends
    And 0.5 s pass
    And "b1" ends
    And 8 s pass
    Then no acknowledged write is lost
    And "b2" does not lead

  # Guards against the loss of commits that only a leaving replica confirmed while connections to it
  # were refused.
  Scenario: A leaving replica refuses connections and runs on, and the other one falls behind
    When callers at every VM write during the next 5 s
    And "b3" announces that it leaves
    And 1 s pass
    And "b3" refuses connections and runs on
    And 2 s pass
    And "b2" receives nothing from the primary
    And 0.8 s pass
    And "b1" ends
    And 8 s pass
    Then no acknowledged write is lost
    And "b2" does not lead

  # Guards against the same once the leaving replica was removed for refusing connections, and when the
  # cut has ended.
  Scenario: A leaving replica that was removed as it refused connections can be reached again
    When callers at every VM write during the next 6 s
    And "b3" announces that it leaves
    And 1 s pass
    And "b3" refuses connections and runs on
    And 2 s pass
    Then "b3" is listed as departed and may still run, also in snapshots
    When "b2" receives nothing from the primary
    And 0.8 s pass
    And "b1" ends
    And 2 s pass
    And "b3" accepts connections again
    And "b3" announces that it leaves
    Then "b3" leads within 1.2 s
    When 5 s pass
    Then "b2" leads
    And no acknowledged write is lost

  # Guards against a promotion that ends the memory of a replica which may still run, and confirms
  # the commits of the new primary.
  Scenario: A replica that was deregistered before a promotion runs on after it
    Given callers at every VM write during the next 9 s
    When "b4" joins
    And 1 s pass
    And "b3" is deregistered and runs on
    And 0.5 s pass
    And "b1" ends
    Then "b2" leads within 1.2 s
    When "b1" is deregistered
    And 2 s pass
    And "b4" receives nothing from the primary
    And 0.8 s pass
    And "b3" ends
    And 0.3 s pass
    And "b2" ends
    And 8 s pass
    Then no acknowledged write is lost
    And "b4" does not lead

  # Guards against departures that block promotions for ever where a VM does not say what it handed on.
  Scenario Outline: A departed replica <evidence>, and the primary and a VM end
    When callers at every VM write during the next 45 s
    And "b4" joins
    And 1 s pass
    And "b3" ends and is deregistered
    And <evidence>
    And 1 s pass
    And "h1" is without news of the configuration
    And "b1" ends
    And 3 s pass
    Then <outcome>
    And no acknowledged write is lost

    Examples:
      | evidence                                 | outcome          |
      | "b5" joins at the address of "b3"        | "b2" leads       |
      | "b3" starts again and announces itself   | "b2" leads       |
      | 31 s pass                                | "b2" leads       |
      | 1 s pass                                 | no endpoint was called |

  # Guards against a departure that holds up promotions for ever after the replica has ended: the
  # primary's last answers were of positions that nobody has received.
  Scenario Outline: Answers have positions of commits under way, and a replica left <seconds> s before
    Given each answer of "b1" has the position of 3 commits that are under way
    When callers at every VM write during the next 40 s
    And 1 s pass
    And "b3" ends and is deregistered
    And <seconds> s pass
    And "b1" ends
    Then "b2" leads within <bound> s
    And no acknowledged write is lost

    Examples:
      | seconds | bound |
      | 11      | 1.2   |

  # Guards against a guess where the departed replica may have confirmed the last commits and cannot be
  # asked: VMs and endpoints say the same whether it has.
  Scenario Outline: Answers have positions of commits under way, and a replica left only <seconds> s before
    Given each answer of "b1" has the position of 3 commits that are under way
    When callers at every VM write during the next 40 s
    And 1 s pass
    And "b3" ends and is deregistered
    And <seconds> s pass
    And "b1" ends
    And 14 s pass
    Then "b2" does not lead
    And no acknowledged write is lost
    And a new write at "h1" is refused within 0.5 s as one that has not run
    And the "promotion_blocked" line has "reason" with "may still run"
    When "b1" starts again and announces itself
    And 1.2 s pass
    Then "b1" leads
    And no acknowledged write is lost
    And a new write at "h1" succeeds

    Examples:
      | seconds |
      | 0       |
      | 3       |

  # Guards against the promotion of a replica only because it is not known to lack a commit: the VM
  # that sent the last commit knew nothing of the one before it.
  Scenario Outline: VMs commit <apart> s apart, only a departed replica confirms the last, and the primary ends
    Given a caller at "h1"
    And a caller at "h2"
    When the caller at "h1" writes
    And 1 s pass
    And "b3" is deregistered and runs on
    And 4 s pass
    And the caller at "h1" writes
    And <apart> s pass
    And "b2" receives nothing from the primary
    And the caller at "h2" writes
    And 0.02 s pass
    And "b1" ends
    And 0.5 s pass
    And "b3" ends
    And 14 s pass
    Then no acknowledged write is lost
    And "b2" does not lead
    And a new write at "h1" is refused within 0.5 s as one that has not run
    When "b1" starts again and announces itself
    And "b2" has caught up with "b1"
    And 1.2 s pass
    Then "b1" leads
    And a new write at "h1" succeeds

    Examples:
      | apart |
      | 0.005 |
      | 0.01  |
      | 0.03  |

  # Guards against the same without a departure: the replica that confirmed the last commit has
  # crashed beside the primary, and its new start proves the end of the one that confirmed it.
  Scenario Outline: VMs commit <apart> s apart, and the replica that confirmed the last starts again empty
    Given a caller at "h1"
    And a caller at "h2"
    When the caller at "h1" writes
    And 1 s pass
    And the caller at "h1" writes
    And <apart> s pass
    And "b2" receives nothing from the primary
    And the caller at "h2" writes
    And 0.02 s pass
    And "b1" ends
    And "b3" ends
    And 2 s pass
    And "b3" starts again and announces itself
    And 12 s pass
    Then no acknowledged write is lost
    And "b2" does not lead
    And "b3" does not lead
    And a new write at "h1" is refused within 0.5 s as one that has not run
    When "b1" starts again and announces itself
    And "b2" has caught up with "b1"
    And 1.2 s pass
    Then "b1" leads
    And a new write at "h1" succeeds

    Examples:
      | apart |
      | 0.005 |
      | 0.01  |
      | 0.03  |

  # Guards against a replica that goes on sending deregistrations, and confirming commits.
  Scenario: A replica whose deregistration is received again still runs
    When "b3" is deregistered and runs on
    And 8 s pass
    And "b3" is deregistered
    And 8 s pass
    Then the control leader has not logged that "b3/1" has ended
    When 3 s pass
    Then the control leader has logged that "b3/1" has ended

  Scenario: A replica that registers again after its deregistration counts as a replica
    When "b3" is deregistered and runs on
    And "b3" announces that it leaves
    Then no replica is listed as departed
    When "b3" is deregistered and runs on
    Then "b3" is listed as departed and may still run, also in snapshots

  # Guards against departures that hold up the promotion of a replica that has every commit.
  Scenario Outline: <departure>, and the primary ends <seconds> s later
    When callers at every VM write during the next 12 s
    And 1 s pass
    And "b3" announces that it leaves
    And 1 s pass
    And <steps>
    And <seconds> s pass
    And "b1" ends
    Then "b2" leads within 1.2 s
    And no acknowledged write is lost

    Examples:
      | departure                                     | steps                                 | seconds |
      | A replica ends and is deregistered            | "b3" ends and is deregistered         | 0       |
      | A replica ends and is deregistered            | "b3" ends and is deregistered         | 0.5     |
      | A replica ends and is deregistered            | "b3" ends and is deregistered         | 5       |
      | A replica is deregistered and runs on         | "b3" is deregistered and runs on      | 0.5     |
      | A replica refuses connections and runs on     | "b3" refuses connections and runs on  | 0.5     |
      | A replica refuses connections and runs on     | "b3" refuses connections and runs on  | 3       |
      | A replica ends without a call                 | "b3" ends                             | 0.5     |
      | A replica ends without a call                 | "b3" ends                             | 3       |
      | A replica is cut off from the control leader  | the control leader no longer reaches "b3" | 0.5 |
      | A replica is cut off from the control leader  | the control leader no longer reaches "b3" | 3   |
