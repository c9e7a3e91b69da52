@promotions
Feature: What the control log and the logs of VMs hold of promotions
  As in the feature on commits at promotions: VMs h1, h2 and h3, the primary b1, its replicas b2 and
  b3. Entries and snapshots of builds without the new fields must stay loadable.

  # Guards against a VM that loses the knowledge of a succession with the entries before a snapshot.
  Scenario: Snapshots hold how a group got its primary
    When the control leader no longer reaches the primary
    And the promote call has been made
    And 2 s pass
    Then both kinds of snapshots hold that "b2" took over, and can be loaded
    And a snapshot of an older build without successions can be loaded
    And a snapshot with a table that this build does not know can be loaded

  # Guards against a snapshot that older builds refuse although there was no promotion.
  Scenario: Snapshots without successions have no such table
    Then neither kind of snapshot has the successions

  # Guards against a VM that answers by a state without the succession after it loaded a snapshot.
  Scenario: A VM out of touch learns of a promotion by a snapshot
    When callers at every VM write during the next 8 s
    And 0.5 s pass
    And "h1" is cut off from the control VMs
    And 1.2 s pass
    And the control leader no longer reaches the primary
    And the promote call has been made
    And "b4" joins without having announced itself
    And the control VMs keep no entries for updates
    And all VMs are in touch
    And 9 s pass
    Then another endpoint than "b1" is the primary
    And the endpoint that leads has every acknowledged write
    And a new write at "h1" succeeds

  # Guards against entries of older builds that are refused, or that count as knowledge of commits.
  Scenario Outline: An older build's entry names <endpoint> as the primary
    When an entry grants the term 7
    And an entry of an older build names "<endpoint>" as the primary in term 7
    Then the entry was accepted, and "<endpoint>" is the primary of term 7 in the control log
    And the control log has <successions>

    Examples:
      | endpoint | successions                                    |
      | b2       | a succession that keeps no commit for certain  |
      | b1       | no succession                                  |

  # Guards against a primary that is taken to have led all the time after an unanswered call for it.
  Scenario: An entry names the same primary after calls that may have taken effect
    When an entry grants the term 7
    And an entry names "b1" in term 7 with led_throughout as false
    Then the entry was accepted, and "b1" is the primary of term 7 in the control log
    And the control log has a succession that keeps no commit for certain

  # Guards against VMs that stop at an entry, or apply half of it.
  Scenario Outline: An entry names a primary with <field> as <value>
    When an entry grants the term 7
    And an entry names "b2" in term 7 with <field> as <value>
    Then the entry was refused, and "b1" is the primary of term 0 in the control log
    And the control log has no succession

    Examples:
      | field | value   |
      | kept  | null    |
      | kept  | "1.5"   |
      | kept  | [1]     |
      | kept  | [1,2,3] |
      | kept  | {"a":1} |
      | kept  | 5       |

  # Guards against a promotion that a leader ends though a newer one has been granted.
  Scenario: An entry of an overtaken promotion names a primary
    When an entry grants the term 7
    And an entry grants the term 8
    And an entry names "b2" in term 7 with led_throughout as true
    Then the entry was refused, and "b1" is the primary of term 0 in the control log

  # Guards against lost commits that the logs cannot explain.
  Scenario: The control leader logs each step of a promotion
    When the control leader no longer reaches the primary
    And "b3" announces that it leaves
    And "b4" joins
    And "b2" starts again and announces itself
    And "b3" ends and is deregistered
    And 0.2 s pass
    And the control leader no longer reaches "b4"
    And 1 s pass
    And the control leader reaches all endpoints again
    And 1 s pass
    And the control leader no longer reaches the primary
    And 3 s pass
    Then the control leader logged "replication_paused" with fence, term, position, group
    And the control leader logged "promote_called" with endpoint, fence, position
    And the control leader logged "promote_ended" with endpoint, fence
    And the control leader logged "primary_observed" with registered_primary, position, fence
    And the control leader logged "endpoint_joined" with group, fence, incarnation
    And the control leader logged "endpoint_leaving" with group, fence, incarnation
    And the control leader logged "endpoint_restarted" with group, fence, incarnation
    And the control leader logged "endpoint_departed" with group, fence, incarnation
    And the control leader logged "failover_started" with fence, primary
    And the control leader logged "primary_promoted" with endpoint, fence, kept

  # Guards against calls whose end the logs do not tell: one without an answer may take effect.
  Scenario: The control leader logs a promote call without an answer, and a pause without one
    When the next promote call gets no answer and is carried out after 3 s
    And the control leader no longer reaches the primary
    And a promote call has been sent
    And the control leader no longer reaches "b3"
    And 4 s pass
    Then the control leader logged "promote_ended" because "no answer"
    And the control leader logged "replication_paused" because "it did not answer or refused"

  # Guards against registrations during a promotion that the logs do not tell apart.
  Scenario: The control leader logs an endpoint that joins during a promotion
    When the control leader no longer reaches the primary
    And the control leader no longer reaches "b3" once a promotion has begun
    And "b2" has been paused
    And "b4" joins
    Then the control leader logged "endpoint_joined" because "during a promotion"

  # Guards against joins in the log that were none, which misleads the search for a lost commit.
  Scenario: A control leader that starts again logs no joins
    When the control VMs are down for 0 s and start again
    And 2 s pass
    Then the control leader logged no "endpoint_joined"

  # Guards against answers of which the logs do not tell what the VM knew of a promotion.
  Scenario: A VM logs a commit that it withholds and answers
    Given a caller at "h2"
    And the VMs' log lines are kept
    When the control leader no longer reaches the primary
    And the control leader no longer reaches "b3" once a promotion has begun
    And "b2" has been paused
    And 0.1 s pass
    And the caller at "h2" writes
    And 0.1 s pass
    Then the last write is withheld
    And "h2" logged "commit_withheld" with position, primary, fence_granted, fence_ended
    And the "commit_withheld" line of "h2" shows a promotion under way
    When the control leader reaches all endpoints again
    And 0.8 s pass
    Then "h2" logged "request_answered" with position, primary, fence_granted, fence_ended
    And the "request_answered" line of "h2" shows no promotion under way

  # Guards against a commit of unknown outcome of which the logs do not tell why.
  Scenario: A VM out of touch logs how old its configuration was when it withheld a commit
    Given a caller at "h2"
    And the VMs' log lines are kept
    When "h2" is cut off from the control VMs
    And 1.55 s pass
    And the caller at "h2" writes
    And 1.2 s pass
    Then "h2" logged "commit_withheld" with configuration_age_ms, revision, endpoint
    And "h2" logged "request_unknown" with configuration_age_ms, revision, endpoint

  # Guards against a line that on-call engineers meet in the logs and find no word about.
  Scenario Outline: The operations page names the line <line>
    Then the operations page names "<line>"

    Examples:
      | line               |
      | replication_paused |
      | promote_called     |
      | promote_ended      |
      | primary_observed   |
      | endpoint_joined    |
      | endpoint_restarted |
      | endpoint_leaving   |
      | endpoint_departed  |
      | request_answered   |

  # Guards against a line that on-call engineers meet in the logs and find no word about.
  Scenario: The operations page names the line of a withheld commit
    Then the operations page names "commit_withheld"

  # Guards against a success for commits of another primary's term, which the promoted endpoint lacks.
  Scenario Outline: A succession keeps only positions of the term before it
    Given a succession that keeps the log up to 2.5
    Then it <keeps> the position <position>

    Examples:
      | keeps         | position |
      | keeps         | 2.5      |
      | keeps         | 2.1      |
      | does not keep | 2.6      |
      | does not keep | 1.3      |
      | does not keep | 3.1      |
