@promotions
Feature: A change of control leader or a handover during a promotion costs no acknowledged commit
  As in the feature on commits at promotions: VMs h1, h2 and h3, the primary b1, its replicas b2 and
  b3. A control leader that starts again knows what the control log holds and nothing else.

  # Guards against a new leader that counts on pauses, calls or leases that only the old one knew.
  Scenario Outline: The control leader starts again after <down> s without one, when <moment>
    When callers at every VM write during the next 14 s
    And the control leader no longer reaches the primary
    And <moment>
    And the control VMs are down for <down> s and start again
    And 16 s pass
    Then the endpoint that leads has every acknowledged write
    And a new write at "h1" succeeds
    And the control log has no promotion under way, and no VM withholds a commit

    Examples:
      | moment                         | down |
      | a term has been granted        | 0    |
      | a term has been granted        | 0.3  |
      | a term has been granted        | 3    |
      | "b2" has been paused           | 0    |
      | "b2" has been paused           | 3    |
      | the promote call has been made | 0    |
      | the promote call has been made | 0.3  |
      | the promote call has been made | 3    |

  # Guards against a new leader that confirms the primary while the old one's call may take effect.
  Scenario Outline: The old leader's promote call comes <late> s late, and the new one finds the primary well
    When callers at every VM write during the next 14 s
    And the next promote call gets no answer and is carried out after <late> s
    And the control leader no longer reaches the primary
    And a promote call has been sent
    And "b2" receives nothing from the primary
    And the control VMs are down for <down> s and start again
    And the control leader reaches all endpoints again
    And 16 s pass
    Then the endpoint that leads has every acknowledged write
    And a new write at "h1" succeeds
    And the control log has no promotion under way, and no VM withholds a commit

    Examples:
      | late | down |
      | 0.1  | 0    |
      | 0.4  | 0    |
      | 0.6  | 0.3  |
      | 0.8  | 0.3  |
      | 1.0  | 0.3  |
      | 2    | 0.3  |
      | 6    | 0.3  |
      | 4    | 3    |

  # Guards against a new leader that promotes another endpoint than the old one's late call.
  Scenario Outline: The old leader's promote call comes <late> s late, after a replica started again
    When callers at every VM write during the next 14 s
    And the next promote call gets no answer and is carried out after <late> s
    And the control leader no longer reaches the primary
    And a promote call has been sent
    And "b2" receives nothing from the primary
    And "b3" starts again without having announced itself
    And the control VMs are down for 0.3 s and start again
    And 16 s pass
    Then the endpoint that leads has every acknowledged write
    And a new write at "h1" succeeds
    And the control log has no promotion under way, and no VM withholds a commit

    Examples:
      | late |
      | 0.5  |
      | 1    |
      | 2    |
      | 2.2  |
      | 2.5  |
      | 6    |

  # Guards against replicas that stay paused for good as the new leader knows of no failed RESUME.
  Scenario: The control leader changes after it failed to resume the replicas
    When "b4" joins
    And the control leader no longer reaches the primary
    And the control leader no longer reaches "b4" once a promotion has begun
    And "b2" has been paused
    And "b3" has been paused
    And the RESUMEs to all replicas get no answer and are not carried out
    And the control leader reaches all endpoints again
    And the promotion has ended
    And the control VMs are down for 0 s and start again
    And "b4" ends
    And 8 s pass
    Then "b1" is the primary in the control log, and leads
    And a new write at "h1" succeeds

  # Guards against replicas that a PAUSE without an answer stops from receiving after the promotion
  # had ended with the primary that leads.
  Scenario: A PAUSE without an answer is carried out after the primary was found well
    When the next PAUSE gets no answer and is carried out after 4 s
    And the next PAUSE gets no answer and is carried out after 4 s
    And the control leader no longer reaches the primary
    And a term has been granted
    And 0.1 s pass
    And the control leader reaches all endpoints again
    And the promotion has ended
    And 10 s pass
    Then "b1" is the primary in the control log, and leads
    And a new write at "h1" succeeds

  # Guards against commits that a stepped-down primary confirms after it started again as primary.
  Scenario Outline: A stepped-down primary starts again as primary <how> before the handover takes effect
    When callers at every VM write during the next 10 s
    And 1 s pass
    And the next promote call gets no answer and is carried out after <late> s
    And "b1" announces that it leaves
    And the primary has stepped down
    And "b1" starts again <how>
    And 14 s pass
    Then the endpoint that leads has every acknowledged write
    And a new write at "h1" succeeds
    And the control log has no promotion under way, and no VM withholds a commit

    Examples:
      | how                             | late |
      | without having announced itself | 0.1  |
      | without having announced itself | 1.4  |
      | without having announced itself | 3    |
      | and announces itself            | 0.1  |
      | and announces itself            | 1.4  |
      | and announces itself            | 3    |

  # Guards against a handover that goes on while the stepped-down primary leads again.
  Scenario: A stepped-down primary starts again as primary while the successor is behind
    Given "b2" receives nothing from the primary
    And "b3" receives nothing from the primary
    When "b4" joins
    And callers at every VM write during the next 10 s
    And 1 s pass
    And "b1" announces that it leaves
    And 0.5 s pass
    And "b1" starts again without having announced itself
    And 14 s pass
    Then the endpoint that leads has every acknowledged write
    And a new write at "h1" succeeds

  # Guards against a STEPDOWN that takes the lead from a primary whose handover had been given up.
  Scenario Outline: A STEPDOWN without an answer is carried out <late> s later
    When callers at every VM write during the next 12 s
    And 1 s pass
    And the next STEPDOWN gets no answer and is carried out after <late> s
    And "b1" announces that it leaves
    And 15 s pass
    Then another endpoint than "b1" is the primary
    And the endpoint that leads has every acknowledged write
    And a new write at "h1" succeeds
    And the control log has no promotion under way, and no VM withholds a commit

    Examples:
      | late |
      | 0.2  |
      | 0.6  |
      | 0.8  |
      | 3    |

  # Guards against a new leader that does not know that the primary stepped down for a handover.
  Scenario Outline: The control leader starts again after <down> s without one during a handover
    When callers at every VM write during the next 12 s
    And 1 s pass
    And "b1" announces that it leaves
    And the primary has stepped down
    And the control VMs are down for <down> s and start again
    And 14 s pass
    Then another endpoint than "b1" is the primary
    And the endpoint that leads has every acknowledged write
    And a new write at "h1" succeeds

    Examples:
      | down |
      | 0    |
      | 3    |

  # Guards against an evacuation's handover that skips what a promotion after a failure does.
  Scenario: The zone of the primary is evacuated while a replica starts again
    When callers at every VM write during the next 10 s
    And 1 s pass
    And the zone "z1" is evacuated
    And the primary has stepped down
    And "b3" starts again without having announced itself
    And 14 s pass
    Then another endpoint than "b1" is the primary
    And the endpoint that leads has every acknowledged write
    And a new write at "h2" succeeds

  # Guards against two control leaders that call the platform with the same fencing token (rule ONE).
  Scenario: A fencing token that was granted to another leader is not used
    When an earlier leader's grant of the next fencing token is applied during an attempt
    And 6 s pass
    Then no promote call used the fencing token of the other leader

  # Guards against a new leader that takes the old one's grant, which it applies only later, for its
  # own, and so for a promotion whose calls it knows.
  Scenario Outline: A new leader applies the old one's grant late, and the old one's call comes <late> s late
    When callers at every VM write during the next 14 s
    And the next promote call gets no answer and is carried out after <late> s
    And the control leader no longer reaches the primary
    And a promote call has been sent
    And "b2" receives nothing from the primary
    And another control VM leads that applies the grant <delay> s later
    And <meanwhile>
    And 16 s pass
    Then no two leaders made calls with the same fencing token
    And the endpoint that leads has every acknowledged write
    And a new write at "h1" succeeds
    And the control log has no promotion under way, and no VM withholds a commit

    Examples:
      | late | delay | meanwhile                                         |
      | 0.9  | 0.1   | "b3" starts again without having announced itself |
      | 2.5  | 0.1   | "b3" starts again without having announced itself |
      | 4    | 0.8   | "b3" starts again without having announced itself |

  # Guards against two leaders that call with the same fencing token: the new one's disk is slow, so
  # that it decides to promote before it has applied the grant of the old one.
  Scenario: A new leader decides on a promotion before it has applied the old one's grant
    When callers at every VM write during the next 14 s
    And the next promote call gets no answer and is carried out after 6 s
    And the control leader no longer reaches the primary
    And a promote call has been sent
    And "b2" receives nothing from the primary
    And another control VM leads that applies the grant 1.2 s later
    And "b3" starts again without having announced itself
    And 16 s pass
    Then no two leaders made calls with the same fencing token
    And the endpoint that leads has every acknowledged write
    And a new write at "h1" succeeds

  # Guards against a promotion that is ended as if no call was open, when the call of an attempt that
  # was given up has just been carried out and takes effect a moment later.
  Scenario: A promote call is carried out just after its attempt was given up
    When callers at every VM write during the next 12 s
    And 1 s pass
    And "b2" receives nothing from the primary
    And "b3" receives nothing from the primary
    And the next promote call is carried out and answered after 1.2 s
    And "b1" announces that it leaves
    And the primary has stepped down
    And 1.9 s pass
    And "b2" has caught up with "b1"
    And "b3" has caught up with "b1"
    And 0.6 s pass
    And "b2" receives nothing from the primary
    And "b1" starts again and announces itself
    And 12 s pass
    Then the endpoint that leads has every acknowledged write
    And the control log has no promotion under way, and no VM withholds a commit

  # Guards against the same at other moments: within the attempt, and after the next one began.
  Scenario Outline: A promote call is answered after <answer> s, near the end of its attempt
    When callers at every VM write during the next 12 s
    And 1 s pass
    And "b2" receives nothing from the primary
    And "b3" receives nothing from the primary
    And the next promote call is carried out and answered after <answer> s
    And "b1" announces that it leaves
    And the primary has stepped down
    And 1.9 s pass
    And "b2" has caught up with "b1"
    And "b3" has caught up with "b1"
    And 0.6 s pass
    And "b2" receives nothing from the primary
    And "b1" starts again and announces itself
    And 12 s pass
    Then the endpoint that leads has every acknowledged write
    And the control log has no promotion under way, and no VM withholds a commit

    Examples:
      | answer |
      | 0.9    |
      | 1.0    |
      | 1.1    |
      | 1.4    |

  # Guards against a new leader that does not know of the leases that the old one's answers gave.
  Scenario Outline: A VM has a lease of a control leader that is gone, for <more> s more
    When callers at every VM <work> during the next 8 s
    And 0.5 s pass
    And "h1" is cut off from the control VMs
    And the control leader no longer reaches the primary
    And <passed> s pass
    And the control VMs are down for 0 s and start again
    And the promote call has been made
    And "b4" joins without having announced itself
    And 2 s pass
    And all VMs are in touch
    And 8 s pass
    Then another endpoint than "b1" is the primary
    And the endpoint that leads has every acknowledged write
    And a new write at "h1" succeeds

    Examples:
      | passed | more | work             |
      | 0      | 1.5  | write            |
      | 0.2    | 1.3  | write            |
      | 0.4    | 1.1  | write            |
      | 0      | 1.5  | run transactions |

  # Guards against a new leader that adopts the old primary without a call, as the log shows no
  # promotion under way, though the promoted endpoint takes the lead a moment later.
  Scenario: A new leader sees the old primary lead after the log names the promoted endpoint
    When callers at every VM write during the next 8 s
    And an endpoint leads 0.8 s after its promote call
    And the control leader no longer reaches the primary
    And the promote call has been made
    And "b4" joins without having announced itself
    And the control VMs are down for 0 s and start again
    And the control leader reaches all endpoints again
    And 12 s pass
    Then the endpoint that leads has every acknowledged write
    And a new write at "h1" succeeds
    And the control log has no promotion under way, and no VM withholds a commit

  # Guards against writes that stop for good: a new leader cannot know that no call was made, and
  # cannot pause the replicas, while VMs reach the primary.
  Scenario: A new control leader reaches neither the primary nor a replica

  # Guards against a promotion that does not wait for the leases: the control leader took it for one
  # whose end it had learned from a snapshot only.
  Scenario: A control leader that learned of the end of a promotion from a snapshot begins another one
    When the control leader no longer reaches the primary
    And 6 s pass
    And the control leader reaches all endpoints again
    And another control VM leads, which knew the grant and learned of its end from a snapshot
    And 5 s pass
    And "h1" is without news of the configuration
    And the control leader no longer reaches "b2" after it was promoted
    And "b3" has been paused
    And "b4" joins without having announced itself
    And callers at every VM write during the next 0.3 s
    And 8 s pass
    Then no acknowledged write is lost

  # Guards against a group whose writes fail as long as the new control leader reaches neither the
  # primary nor one of the replicas, though VMs reach the primary and no call was ever made.
  Scenario: A control leader is lost before any call, and the next one does not reach the primary
    When the control leader no longer reaches the primary
    And a term has been granted
    And the control leader no longer reaches "b2"
    And the control VMs are down for 0.2 s and start again
    And 15 s pass
    Then a new write at "h1" succeeds

  # Guards against a leader that does not wait for the VMs, as a snapshot has hidden from it that the
  # last promotion that it heard of has ended.
  Scenario: A control leader that missed the end of an earlier promotion waits for the VMs
    Given the control leader has missed the end of a promotion of 20 s ago
    When "h1" is without news of the configuration
    And the control leader no longer reaches the primary
    And a term has been granted
    And 0.5 s pass
    Then no promote call was made
