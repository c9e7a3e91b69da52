@promotions
Feature: VMs out of touch hand on no commit that a promotion may lose, and answers are true
  As in the feature on commits at promotions: VMs h1, h2 and h3, the primary b1, its replicas b2 and
  b3. A VM hands on commits for 1.5 s after a quorum last confirmed its configuration. A write's
  deadline is 1 s after it was sent.

  # Guards against commits that fail at a VM that has been out of touch for a moment.
  Scenario Outline: A VM is <state> for less than its lease
    Given a caller at "h1"
    When "h1" is <state>
    And 1 s pass
    And the caller at "h1" writes
    And 0.3 s pass
    Then the last write succeeded

    Examples:
      | state                               |
      | cut off from the control VMs        |
      | without news of the configuration   |

  # Guards against a VM that hands on commits though it can know of no promotion.
  Scenario Outline: A VM is <state> for longer than its lease
    Given a caller at "h1"
    When "h1" is <state>
    And 1.55 s pass
    And the caller at "h1" writes
    And 0.5 s pass
    Then the last write is withheld
    When 0.6 s pass
    Then the outcome of the last write is unknown

    Examples:
      | state                               |
      | cut off from the control VMs        |
      | without news of the configuration   |

  # Guards against commits that stay without an answer although the VM is in touch again.
  Scenario: A VM that withholds a commit comes back before the deadline
    Given a caller at "h1"
    When "h1" is cut off from the control VMs
    And 1.55 s pass
    And the caller at "h1" writes
    And 0.5 s pass
    And all VMs are in touch
    And 0.15 s pass
    Then the last write succeeded
    And the endpoint that leads has every acknowledged write

  # Guards against a promotion that begins while a VM out of touch still hands on commits.
  Scenario Outline: A VM is <state> while the primary is replaced, and callers <work>
    When callers at every VM <work> during the next 8 s
    And 0.5 s pass
    And "h1" is <state>
    And 0.05 s pass
    And the control leader no longer reaches the primary
    And the promote call has been made
    Then "h1" has been out of touch for its lease
    When 3 s pass
    And all VMs are in touch
    And 8 s pass
    Then another endpoint than "b1" is the primary
    And the endpoint that leads has every acknowledged write
    And a new write at "h1" succeeds
    And the control log has no promotion under way, and no VM withholds a commit

    Examples:
      | state                             | work             |
      | cut off from the control VMs      | write            |
      | without news of the configuration | write            |
      | cut off from the control VMs      | run transactions |
      | without news of the configuration | run transactions |

  # Guards against commits that an out-of-touch VM hands on as confirmed by a replica that joined.
  Scenario Outline: A VM is out of touch for <seconds> s before the primary fails, and a replica joins
    When callers at every VM run transactions during the next 10 s
    And 0.5 s pass
    And "h1" is cut off from the control VMs
    And <seconds> s pass
    And the control leader no longer reaches the primary
    And the promote call has been made
    And "b4" joins without having announced itself
    And 2 s pass
    And all VMs are in touch
    And 10 s pass
    Then another endpoint than "b1" is the primary
    And the endpoint that leads has every acknowledged write
    And a new write at "h1" succeeds

    Examples:
      | seconds |
      | 0       |
      | 0.7     |
      | 1.2     |
      | 1.5     |
      | 3       |

  # Guards against a handover or an evacuation that begins while a VM hands on commits unaware of it.
  Scenario Outline: A VM is out of touch while <planned>
    When callers at every VM <work> during the next 8 s
    And 0.5 s pass
    And "h1" is cut off from the control VMs
    And 0.3 s pass
    And <planned>
    And the primary has stepped down
    Then "h1" has been out of touch for its lease
    When "b4" joins without having announced itself
    And 2 s pass
    And all VMs are in touch
    And 10 s pass
    Then another endpoint than "b1" is the primary
    And the endpoint that leads has every acknowledged write
    And a new write at "h2" succeeds

    Examples:
      | planned                       | work             |
      | "b1" announces that it leaves | write            |
      | "b1" announces that it leaves | run transactions |
      | the zone "z1" is evacuated    | write            |

  # Guards against a success that is handed on by what the home VM knows, not by what the caller's does.
  Scenario Outline: A commit is relayed, and only <vms> without news of the configuration
    When callers at every VM <work> during the next 8 s
    And 0.5 s pass
    And <vms> without news of the configuration
    And 0.3 s pass
    And the control leader no longer reaches the primary
    And the promote call has been made
    And "b4" joins without having announced itself
    And 3 s pass
    And all VMs are in touch
    And 8 s pass
    Then statements were relayed
    And another endpoint than "b1" is the primary
    And the endpoint that leads has every acknowledged write
    And a new write at "h1" succeeds

    Examples:
      | vms             | work             |
      | "h1" is         | write            |
      | "h2" is         | write            |
      | "h3" is         | write            |
      | "h1" is         | run transactions |
      | "h2" is         | run transactions |
      | "h3" is         | run transactions |

  # Guards against a home VM that withholds what the VM of the caller may hand on.
  Scenario: A commit is relayed to a VM whose lease has expired
    Given a caller at "h2"
    When "h1" is without news of the configuration
    And 2 s pass
    And the caller at "h2" writes
    And 0.1 s pass
    Then statements were relayed
    And the last write succeeded

  # Guards against a commit at the old primary that the promoted endpoint lacks.
  Scenario Outline: A transaction is begun before a promotion and committed <when>
    Given a caller at "h1"
    When the caller at "h1" begins a transaction and writes in it
    And the control leader no longer reaches the primary
    And the promote call has been made
    And "b4" joins without having announced itself
    And <when>
    And the caller at "h1" commits
    And 3 s pass
    Then the last commit did not succeed
    And no commit was acknowledged that the leading endpoint lacks

    Examples:
      | when               |
      | 0 s pass           |
      | 0.05 s pass        |
      | 0.15 s pass        |
      | "b2" leads         |

  # Guards against callers that are told of an unknown outcome though the promoted endpoint has it.
  Scenario: A withheld commit that the promoted endpoint has is answered with success
    Given a caller at "h2"
    When "h1" is without news of the configuration
    And the control leader no longer reaches the primary
    And a term has been granted
    And 0.7 s pass
    And the caller at "h2" writes
    And 0.1 s pass
    Then the last write is withheld
    When the promotion has ended
    And "b2" leads
    And 0.4 s pass
    Then the last write succeeded
    When 1 s pass
    Then another endpoint than "b1" is the primary
    And the endpoint that leads has every acknowledged write

  # Guards against callers that wait for their deadline though it is known that a commit may be lost.
  Scenario: A withheld commit that the promoted endpoint may lack is answered at once
    Given a caller at "h2"
    When the control leader no longer reaches the primary
    And the promote call has been made
    And "b4" joins without having announced itself
    And the caller at "h2" writes
    And 0.3 s pass
    Then the outcome of the last write is unknown

  # Guards against a success for commits that the promoted endpoint had when it was paused, and lost
  # to the endpoint of an earlier call before it led.
  Scenario Outline: An earlier call is carried out <seconds> s late, and callers wait for 6 s
    Given a write's deadline is 6 s
    When callers at every VM write during the next 8 s
    And the next promote call gets no answer and is carried out after <seconds> s
    And the control leader no longer reaches the primary
    And a promote call has been sent
    And "b2" receives nothing from the primary
    And "b3" starts again without having announced itself
    And 20 s pass
    Then "b3" is the primary in the control log, and leads
    And the endpoint that leads has every acknowledged write

    Examples:
      | seconds |
      | 1.7     |
      | 1.8     |

  # Guards against a success, or no answer, while it is not known whether a call took effect.
  Scenario: A commit that is withheld until its deadline has an unknown outcome
    Given a caller at "h2"
    When the next promote call gets no answer and is carried out after 2 s
    And the control leader no longer reaches the primary
    And a promote call has been sent
    And "b4" joins without having announced itself
    And the caller at "h2" writes
    And 0.9 s pass
    Then the last write is withheld
    When 0.15 s pass
    Then the outcome of the last write is unknown
    When 8 s pass
    Then the control log has no promotion under way, and no VM withholds a commit

  # Guards against an unknown outcome for commits at a primary that goes on.
  Scenario: A withheld commit is answered with success once the primary is found well
    Given a caller at "h2"
    When the control leader no longer reaches the primary
    And the control leader no longer reaches "b3" once a promotion has begun
    And "b2" has been paused
    And 0.1 s pass
    And the caller at "h2" writes
    And 0.1 s pass
    Then the last write is withheld
    When the control leader reaches all endpoints again
    And 0.8 s pass
    Then the last write succeeded
    And "b1" is the primary in the control log, and leads
    And the endpoint that leads has every acknowledged write
    And every replica receives

  # Guards against a withheld commit that keeps a session or a request after its caller has left.
  Scenario: The caller of a withheld commit leaves
    Given a caller at "h2"
    When "h2" is cut off from the control VMs
    And 1.55 s pass
    And the caller at "h2" writes
    And 0.2 s pass
    Then the last write is withheld
    When the caller at "h2" leaves
    And 0.2 s pass
    And all VMs are in touch
    And 2 s pass
    Then "h2" has no request and no session of a caller
    And a new write at "h2" succeeds

  # Guards against a stop that ends before the answers to withheld commits, or that waits for them.
  Scenario Outline: A VM that withholds a commit stops, and <news>
    Given a caller at "h2"
    When "h2" is cut off from the control VMs
    And 1.55 s pass
    And "h2" is told to stop within 2 s
    And the caller at "h2" writes
    And 0.4 s pass
    Then the last write is withheld
    When <news>
    And 0.7 s pass
    Then <outcome>
    And "h2" ends within its grace period

    Examples:
      | news                    | outcome                               |
      | all VMs are in touch    | the last write succeeded              |
      | no VM is in touch again | the outcome of the last write is unknown |

  # Guards against an answer after the process has ended: a stop shortens the wait of commits.
  Scenario: A commit is withheld while a stop leaves less time than its deadline
    Given a caller at "h2"
    When "h2" is cut off from the control VMs
    And 1.55 s pass
    And "h2" is told to stop within 0.8 s
    And the caller at "h2" writes
    And 0.7 s pass
    Then the outcome of the last write is unknown

  # Guards against a false or missing answer if the stop begins after the commit was withheld: the
  # front end then answers at the end of the stop.
  Scenario Outline: A stop begins while a <kind> is withheld, and leaves less time than its deadline
    Given a caller at "h2"
    When "h2" is cut off from the control VMs
    And 1.55 s pass
    And <before>
    And the caller at "h2" <kind>s
    And 0.2 s pass
    Then the last write is withheld
    When "h2" is told to stop within 0.4 s
    And 0.4 s pass
    Then "h2" has ended, and the answer at its end is that the outcome is unknown

    Examples:
      | kind   | before                                                 |
      | write  | 0 s pass                                               |
      | commit | the caller at "h2" begins a transaction and writes in it |
