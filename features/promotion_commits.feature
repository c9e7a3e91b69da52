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

  # Guards against the loss of commits that a paused replica confirmed after a start ended its pause.
  Scenario: A paused replica starts again before the promote call takes effect
    When callers at every VM write during the next 6 s
    And the control leader no longer reaches the primary
    And the promote call has been made
    And "b3" starts again without having announced itself
    And 8 s pass
    Then "b2" is the primary in the control log, and leads
    And the endpoint that leads has every acknowledged write
    And a new write at "h1" succeeds

  # Guards against a promotion that counts the position from before the start of a paused replica.
  Scenario: A paused replica starts again and announces itself before the promote call takes effect
    When callers at every VM write during the next 6 s
    And the control leader no longer reaches the primary
    And the promote call has been made
    And "b3" starts again and announces itself
    And 8 s pass
    Then "b2" is the primary in the control log, and leads
    And the endpoint that leads has every acknowledged write
    And a new write at "h1" succeeds

  # Guards against the loss of commits that the endpoint to be promoted confirmed after its start.
  Scenario Outline: A paused replica starts again <how> while another one has not answered its pause
    When callers at every VM write during the next 8 s
    And the control leader no longer reaches the primary
    And the control leader no longer reaches "b3" once a promotion has begun
    And "b2" has been paused
    And "b2" starts again <how>
    And 1 s pass
    And the control leader reaches "b3" again
    And 9 s pass
    Then the endpoint that leads has every acknowledged write
    When the control leader reaches all endpoints again
    And 6 s pass
    Then a new write at "h1" succeeds
    And the control log has no promotion under way, and no VM withholds a commit

    Examples:
      | how                             |
      | without having announced itself |
      | and announces itself            |

  # Guards against the loss of commits confirmed by a replica whose pause a late RESUME undid.
  Scenario Outline: A RESUME without an answer undoes the pause of <replica> after the promote call
    When callers at every VM write during the next 12 s
    And the control leader no longer reaches the primary
    And the control leader no longer reaches "b3" once a promotion has begun
    And "b2" has been paused
    And the next RESUME gets no answer and is carried out after 30 s
    And the control leader reaches all endpoints again
    And the promotion has ended
    And 2 s pass
    And the control leader no longer reaches the primary
    And the promote call has been made
    And an earlier RESUME is carried out at "<replica>"
    And 12 s pass
    Then another endpoint than "b1" is the primary
    And the endpoint that leads has every acknowledged write
    And a new write at "h1" succeeds

    Examples:
      | replica |
      | b2      |
      | b3      |

  # Guards against the loss of commits that a replica received after the pause that was counted.
  Scenario: A RESUME without an answer undoes a pause before the promote call
    When callers at every VM write during the next 10 s
    And the control leader no longer reaches the primary
    And the control leader no longer reaches "b3" once a promotion has begun
    And "b2" has been paused
    And an earlier RESUME is carried out at "b2"
    And 0.2 s pass
    And the control leader reaches "b3" again
    And 12 s pass
    Then another endpoint than "b1" is the primary
    And the endpoint that leads has every acknowledged write
    And a new write at "h1" succeeds

  # Guards against a late call that deposes a primary whose commits VMs hand on, after the attempts
  # that followed it had given up.
  Scenario: A promote call is carried out after the next attempts gave up
    When callers at every VM write during the next 14 s
    And the next promote call gets no answer and is carried out after 5 s
    And the control leader no longer reaches the primary
    And a promote call has been sent
    And "b2" receives nothing from the primary
    And the control leader no longer reaches "b3"
    And 8 s pass
    And the control leader reaches "b3" again
    And 8 s pass
    Then "b2" is the primary in the control log, and leads
    And the endpoint that leads has every acknowledged write
    And a new write at "h1" succeeds
    And the control log has no promotion under way, and no VM withholds a commit

  # Guards against a late call that deposes a primary that was confirmed in the meantime.
  Scenario Outline: A promote call is carried out <seconds> s later, and the primary is found well
    When callers at every VM write during the next 10 s
    And the next promote call gets no answer and is carried out after <seconds> s
    And the control leader no longer reaches the primary
    And a promote call has been sent
    And "b2" receives nothing from the primary
    And the control leader reaches "b1" again
    And 12 s pass
    Then the endpoint that leads has every acknowledged write
    And a new write at "h1" succeeds
    And the control log has no promotion under way, and no VM withholds a commit

    Examples:
      | seconds |
      | 0.2     |
      | 1.4     |
      | 1.6     |
      | 1.8     |
      | 2.0     |
      | 2.4     |
      | 5       |

  # Guards against a late call that takes the lead from the endpoint that was promoted after it.
  Scenario Outline: A promote call is carried out <seconds> s later, after another one's
    When callers at every VM write during the next 10 s
    And the next promote call gets no answer and is carried out after <seconds> s
    And the control leader no longer reaches the primary
    And a promote call has been sent
    And "b2" receives nothing from the primary
    And "b3" starts again without having announced itself
    And 12 s pass
    Then another endpoint than "b1" is the primary
    And the endpoint that leads has every acknowledged write
    And a new write at "h1" succeeds
    And the control log has no promotion under way, and no VM withholds a commit

    Examples:
      | seconds |
      | 1.4     |
      | 1.7     |
      | 1.75    |
      | 1.8     |
      | 4       |

  # Guards against the loss of commits that the target of a late call lacks after its start.
  Scenario: The target of a late promote call has started again while the primary still serves callers
    When callers at every VM write during the next 10 s
    And the next promote call gets no answer and is carried out after 3 s
    And the control leader no longer reaches the primary
    And a promote call has been sent
    And "b2" starts again without having announced itself
    And 12 s pass
    Then another endpoint than "b1" is the primary
    And the endpoint that leads has every acknowledged write
    And a new write at "h1" succeeds

  # Guards against the promotion of an endpoint with an empty log, by a late call that a newer one
  # for the other paused replica could have superseded.
  Scenario: The target of a late promote call has started again with nothing, after the primary ended
    When callers at every VM write during the next 4 s
    And 1 s pass
    And the next promote call gets no answer and is carried out after 5 s
    And "b1" ends
    And a promote call has been sent
    And "b2" starts again without having announced itself
    And 12 s pass
    Then no acknowledged write is lost

  # Guards against a control log that fills while a promotion waits for an unreachable replica.
  Scenario: A lost primary is left in place without log entries while a replica is unreachable
    When the control leader no longer reaches the primary
    And the control leader no longer reaches "b3"
    And 10 s pass
    Then the control log granted at most 1 fencing token, and "b3" is reached again
    When 4 s pass
    Then another endpoint than "b1" is the primary

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

  # Guards against promotions of which nobody can tell afterwards what they relied on.
  Scenario: Logs and metrics tell by which proof an endpoint was promoted, and who was not counted
    When callers at every VM write during the next 1 s
    And 1.2 s pass
    And "b3" ends
    And 1 s pass
    And "b1" ends
    And the promote call has been made
    And 1 s pass
    Then the "promote_called" line has the cause "it has all that the VMs handed on"
    And the "promote_called" line has "counted" with "b2:1."
    And the "promote_called" line has "left_out" with "b3"
    And the control leader counts 1 promotion by "HANDED_ON"

  # Guards against a lost primary that stays in place without a line that says why.
  Scenario: The control leader logs once why a lost primary is left in place
    When callers at every VM write during the next 2 s
    And 0.5 s pass
    And "b2" receives nothing from the primary
    And 0.5 s pass
    And "b3" ends
    And 0.3 s pass
    And "b1" ends
    And 5 s pass
    Then the "promotion_blocked" line has "reason" with "b3 did not answer"
    And no endpoint was called

  # Guards against the loss of commits that were handed on before the grant, and that only a replica
  # has which no VM had heard of when the others were paused.
  Scenario: A replica that no VM has heard of confirms commits, and h1 is in touch
    Given a caller at "h1"
    And "b2" receives nothing from the primary
    And "b3" receives nothing from the primary
    When "b4" joins without having announced itself
    And the control leader no longer reaches the primary
    And callers at every VM write during the next 1.2 s
    And 8 s pass
    Then no acknowledged write is lost

  # Guards against the same for a VM that hands on commits by its lease only.
  Scenario: A replica that no VM has heard of confirms commits, and h1 is out of touch for less than the lease
    Given a caller at "h1"
    And "b2" receives nothing from the primary
    And "b3" receives nothing from the primary
    When "b4" joins without having announced itself
    And the control leader no longer reaches the primary
    And "h1" is without news of the configuration
    And callers at every VM write during the next 1.2 s
    And 8 s pass
    Then no acknowledged write is lost

  # Guards against the same if nobody else writes, so that no VM in touch tells of the commits.
  Scenario: A replica that no VM has heard of confirms commits of a VM that is out of touch
    Given a caller at "h1"
    And "b2" receives nothing from the primary
    And "b3" receives nothing from the primary
    When "b4" joins without having announced itself
    And the control leader no longer reaches the primary
    And "h1" is without news of the configuration
    And callers at "h1" write during the next 1.2 s
    And 8 s pass
    Then no acknowledged write is lost

  # Guards against a success for commits that a primary without its log was said to have kept: a
  # position of a later term does not show what it has of an earlier one.
  Scenario: The named primary starts again empty, leads and commits before it is probed
    When the control leader no longer reaches the primary
    And a term has been granted
    And callers at every VM write during the next 0.3 s
    And the promotion has ended
    And "b2" starts again without the log and without having announced itself
    And "b2" leads
    And callers at every VM write during the next 0.1 s
    And 8 s pass
    Then no write was acknowledged after "b2" led that it lacks
