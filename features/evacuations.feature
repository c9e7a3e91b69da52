Feature: Operators take availability zones out of service and bring them back
  Evacuations have to be complete 5 s after their acknowledgement. In the simulations with home VMs,
  the endpoints b1 (the primary), b2 and b3 are in the zones z1, z2 and z3, the entry VMs h1 to h6 in
  z1, z2, z3, z1, z2, z3, and the control leader is in z1.

  # Guards against requests that go on to reach a zone whose machines are about to be switched off.
  @homes
  Scenario Outline: Callers are served while one or two zones are evacuated, and none after the bound there
    Given evacuations take 5 s, and every entry VM has callers that read and write
    When the evacuation of "<zones>" is acknowledged
    And callers send for 9 s
    Then no request reached an endpoint of "<zones>" later than 5 s after the acknowledgement
    And every caller's statement of the last 3 s was served
    And no acknowledged write was lost
    And the primary is in none of "<zones>"
    And no VM of the simulation violated an invariant

    Examples:
      | zones |
      | z1    |
      | z2    |
      | z1 z2 |

  # Guards against reads that go to a zone for the whole of the bound, though others can serve them.
  @homes
  Scenario: New reads leave an evacuated zone at once
    Given evacuations take 5 s, and every entry VM has callers that read and write
    When the evacuation of "z2" is acknowledged
    And callers send for 3 s
    Then no new work reached an endpoint of "z2" later than 0.5 s after the acknowledgement

  # Guards against requests that wait for their whole time when nothing can serve them.
  @homes
  Scenario: While all zones are evacuated, everything is refused at once as not run
    Given evacuations take 5 s, and every entry VM has callers that read and write
    When the evacuation of "z1 z2 z3" is acknowledged
    And callers send for 9 s
    Then no request reached an endpoint of "z1 z2 z3" later than 5 s after the acknowledgement
    And callers were served 2 s after the acknowledgement
    And every statement of the last 3 s was refused within 0.05 s as not run
    And no VM of the simulation violated an invariant
    When the evacuation of "z1 z2 z3" is finished
    And callers send for 5 s
    Then every caller's statement of the last 3 s was served

  # Guards against writes that wait for their whole objective for a handover that fails.
  @homes
  Scenario: From the end of the bound on, writes are refused at once while no handover succeeds
    Given evacuations take 5 s, and every entry VM has callers that read and write
    And the endpoints refuse the commands of handovers
    When the evacuation of "z1" is acknowledged
    And callers send for 9 s
    Then every write of the last 3 s was refused within 0.05 s as not run
    And every read of the last 3 s was served

  # Guards against refusals that name an evacuation where there is none.
  @homes
  Scenario: A request that its regions leave no usable endpoint is not refused for an evacuation
    Given evacuations take 5 s, and every entry VM has callers that read and write
    And the zone "z1" is in the region "east", and the routes are restricted to "east"
    When "h2" suspects "b1", and a session sends there "WRITE x 1"
    Then that statement was refused with "no_endpoint" for "outside the allowed regions"
    And "h2" counts it as excluded, and no request as refused for an evacuation

  # Guards against reads that no endpoint elsewhere may serve, and that are refused from the start.
  @homes
  Scenario: Reads restricted to the region of an evacuated zone are served there within the bound
    Given evacuations take 5 s, and every entry VM has callers that read and write
    And the zone "z2" is in the region "east", and the routes are restricted to "east"
    When the evacuation of "z2" is acknowledged
    And a session sends at "h2" "READ x"
    Then that statement was served
    When 5 s pass
    And a session sends at "h2" "READ x"
    Then that statement was refused with "no_endpoint" for "in an evacuated zone"

  # Guards against the timers of an evacuation that was withdrawn.
  @homes
  Scenario: Begin and finish in quick succession end no transaction and refuse nothing
    Given evacuations take 5 s, and every entry VM has callers that read and write
    And a session "a" on "bounded" at "h2"
    When "a" sends at "h2" "BEGIN READ"
    And "a" sends at "h2" "READ x"
    And the evacuation of "z2 z3" is acknowledged
    And the evacuation of "z2 z3" is finished
    And the evacuation of "z2 z3" is acknowledged
    And the evacuation of "z2 z3" is finished
    And callers send for 1.5 s
    And "a" sends at "h2" "READ x"
    And callers send for 1.5 s
    And "a" sends at "h2" "COMMIT"
    Then every caller's statement of the last 2.5 s was served
    And the last statement of "a" succeeded
    And no VM acts on an evacuation

  # Guards against statements of transactions that keep to their connection after the bound.
  @homes
  Scenario: An open transaction in the zone goes on for at most half of the bound and is answered as lost
    Given evacuations take 5 s, and every entry VM has callers that read and write
    And a session "a" on "bounded" at "h2"
    When "a" sends at "h2" "BEGIN READ"
    And "a" sends at "h2" "READ x"
    Then the transaction of "a" is at "b2"
    When the evacuation of "z2" is acknowledged
    And "a" sends at "h2" "READ x"
    Then the last statement of "a" succeeded
    When 1.6 s pass
    And "a" sends at "h2" "READ x"
    Then the last statement of "a" was refused as not run with "transaction_unknown"
    And no home or endpoint holds an open transaction
    When "a" sends at "h2" "ROLLBACK"
    Then the last statement of "a" succeeded

  # Guards against a home VM that goes on with transactions for a VM that does not know.
  @homes
  Scenario: A home VM ends relayed transactions by itself
    Given evacuations take 5 s, and every entry VM has callers that read and write
    And a session "a" on "bounded" at "h2"
    When "a" sends at "h2" "BEGIN READ"
    And "a" sends at "h2" "READ x"
    Then the transaction of "a" is at "b2", and "h2" relays its statements
    When "h2" receives no configuration any more
    And the evacuation of "z2" is acknowledged
    And "a" sends at "h2" "READ x"
    And 1.7 s pass
    And "a" sends at "h2" "READ x"
    Then the last statement of "a" was refused as not run with "transaction_unknown"

  # Guards against a commit that is cut although it was sent in time, and so has an unknown outcome.
  @homes
  Scenario: A statement that is under way when the time of its transaction ends is answered
    Given evacuations take 5 s, and every entry VM has callers that read and write
    And a session "a" on "bounded" at "h2"
    When "a" sends at "h2" "BEGIN READ"
    And "a" sends at "h2" "READ x"
    Then the transaction of "a" is at "b2"
    When the endpoints need 0.7 s for each statement
    And the evacuation of "z2" is acknowledged
    And "a" sends "READ x" at "h2" 2 s after the acknowledgement
    And 1 s pass
    Then the last statement of "a" succeeded
    When "a" sends at "h2" "READ x"
    Then the last statement of "a" was refused as not run with "transaction_unknown"

  # Guards against statements that wait at a home VM for longer than the evacuation takes.
  @homes
  Scenario: Reads that wait at home VMs for an endpoint of the zone are served elsewhere
    Given evacuations take 5 s, and every entry VM has callers that read and write
    When 40 reads wait for "b2" at its home VMs
    And the evacuation of "z2" is acknowledged
    And 1 s pass
    Then none of these reads reached "b2" later than 0.5 s after the acknowledgement
    And all of these reads were served within 0.5 s after the acknowledgement

  # Guards against VMs that count the bound from when they learn of an evacuation, however late.
  @homes
  Scenario Outline: A VM that learns late of an evacuation sends nothing to the zone
    Given evacuations take 5 s, and every entry VM has callers that read and write
    When "<vm>" <fault>
    And the evacuation of "z1 z2 z3" is acknowledged
    And 6 s pass
    And "<vm>" receives the configuration
    And callers send at "<vm>" for 2 s
    Then no request of "<vm>" reached an endpoint after that
    And no VM of the simulation violated an invariant

    Examples:
      | vm | fault                               |
      | h7 | starts without a configuration      |
      | h4 | receives no configuration any more  |

  # Guards against evacuations that are lost or delayed among many other changes.
  @homes
  Scenario: An evacuation holds during a rapid series of configuration changes
    Given evacuations take 5 s, and every entry VM has callers that read and write
    When the evacuation of "z1" is acknowledged while 40 versions are declared within 8 s
    And callers send for 2 s
    Then no request reached an endpoint of "z1" later than 5 s after the acknowledgement
    And the primary is in none of "z1"
    And no acknowledged write was lost

  # Guards against an evacuation that takes control or entry VMs out of service.
  @homes
  Scenario: The control leader and the entry VMs of an evacuated zone continue to work
    Given evacuations take 5 s, and every entry VM has callers that read and write
    When the evacuation of "z1" is acknowledged
    And callers send for 9 s
    Then the control leader is the same, and changes reach every VM
    And the entry VMs of "z1" served their callers in the last 3 s

  # Guards against a promotion into a zone that is about to be switched off.
  @sessions
  Scenario: After a crash the new primary is outside the evacuated zone, although others are as far
    When the evacuation of the zone of "b2" has begun
    And the primary crashes
    And 2 s pass
    Then "b3" is the primary

  # Guards against the loss of an acknowledged write that only an evacuated replica has.
  @sessions
  Scenario: An evacuated replica that received most is promoted, and then hands over
    When the replica "b2" has received more commits than "b3"
    And the evacuation of the zone of "b2" has begun
    And the primary crashes
    And 1.5 s pass
    Then "b2" is the primary
    When 4 s pass
    Then "b3" is the primary

  # Guards against a promotion that skips a replica which may have confirmed a write.
  @sessions
  Scenario: An evacuated replica that does not answer still blocks a promotion
    When the evacuation of the zone of "b3" has begun
    And the endpoint "b3" crashes
    And 1 s pass
    And the primary crashes
    And a VM that serves callers ends
    And 3 s pass
    Then no endpoint was promoted

  # Guards against a primary that stays in a zone whose evacuation began while it was promoted.
  @sessions
  Scenario: An evacuation that begins during a promotion moves the new primary out of the zone
    When the replica "b2" has received more commits than "b3"
    And the primary crashes
    And 0.3 s pass
    Then a promotion of "b2" is in progress
    When the evacuation of the zone of "b2" has begun
    And 4.5 s pass
    Then "b3" is the primary

  # Guards against a primary that steps down with nobody to follow.
  @sessions
  Scenario: A primary of an evacuated zone stays primary if no endpoint outside answers
    When the endpoint "b2" crashes
    And the endpoint "b3" crashes
    And 1 s pass
    And the evacuation of the zone of "b1" has begun
    And 3 s pass
    Then "b1" is the primary
    And no endpoint was promoted

  # Guards against a primary that steps down again and again for replicas that cannot catch up.
  @sessions
  Scenario: A primary of an evacuated zone stays primary while the replicas outside are behind
    When the primary has commits that "b2" and "b3" lack
    And the evacuation of the zone of "b1" has begun
    Then "b1" stays the primary for 8 s
    When "b2" has received all commits of the primary
    And 3 s pass
    Then "b2" is the primary

  # Guards against a group without a primary although the former one has every write.
  @sessions
  Scenario: A primary that stepped down is promoted again if the last replica to follow crashes
    When the primary has commits that "b3" lacks
    And the evacuation of the zone of "b1" has begun
    And "b2" crashes as soon as the primary has stepped down
    And 4 s pass
    Then "b1" is the primary

  # Guards against a log that fills with attempts while an endpoint refuses to step down.
  @sessions
  Scenario: Failed handovers are retried with growing delays
    When the endpoints refuse all commands
    And the evacuation of the zone of "b1" has begun
    Then at most 12 handovers are attempted in 30 s, with 2 log entries each

  # Guards against a request that takes effect after a newer one, as from a frozen control VM.
  @simulation
  Scenario: A delayed command is rejected after a newer one, and a repeated one changes nothing
    When "begin_evacuation" of "z2" is proposed with the revision of now
    And "finish_evacuation" of "z2" is proposed with the revision of now
    And the first command is proposed once more
    Then the outcomes are "accepted, accepted, revision_conflict"
    And "z2" is not evacuated on any VM
    When "begin_evacuation" of "z2" is proposed with the revision of now
    And the last command is proposed once more
    And "finish_evacuation" of "z1" is proposed with the revision of now
    Then the outcomes are "accepted, accepted, accepted"
    And "z2" is evacuated on every VM, since the first of these commands

  # Guards against a delayed request that undoes a newer one which found nothing to change.
  @simulation
  Scenario Outline: A delayed command is rejected after one that asked for what was in force
    When "begin_evacuation" of "z2" is proposed with the revision of now
    And "<newer>" of "<zone>" is proposed with the revision of now
    And an older "<older>" of "<zone>" is proposed, with the revision before
    Then the outcomes are "accepted, accepted, revision_conflict"
    And "z2" is evacuated on every VM, since the first of these commands

    Examples:
      | newer             | zone | older             |
      | begin_evacuation  | z2   | finish_evacuation |
      | finish_evacuation | z1   | begin_evacuation  |

  # Guards against evacuations that are lost with a restart, a disk or an old log.
  @simulation
  Scenario Outline: Evacuations survive what a configuration survives
    When "begin_evacuation" of "z2" is proposed with the revision of now
    And <fault>
    And 12 s pass
    Then "z2" is evacuated on every VM, since the first of these commands

    Examples:
      | fault                                                |
      | all VMs are killed and start again                   |
      | a voter loses its disk and restarts                  |
      | 300 more changes are made and all VMs restart        |

  # Guards against VMs without a disk that get no evacuations with their snapshot.
  @sessions
  Scenario: Snapshots hold evacuations, and none where there are none
    Then neither kind of snapshot has a key "evacuations"
    When the evacuation of the zone of "b2" has begun
    Then both kinds of snapshots hold the evacuation of the zone of "b2"
    And a snapshot of an older build without evacuations can be loaded

  # Guards against answers that end the operator's call although it has to be sent again.
  @simulation
  Scenario Outline: Operators' requests for evacuations are answered by what became of them
    Given a control VM <state>
    When an operator sends "<method> <path>"
    Then the HTTP status is <status>

    Examples:
      | state                                  | method | path                       | status |
      | in contact with all others             | POST   | /Evacuations.Begin/z1      | 200    |
      | in contact with all others             | POST   | /Evacuations.Finish/z1     | 200    |
      | in contact with all others             | POST   | /Evacuations.Begin/z9      | 400    |
      | in contact with all others             | POST   | /Evacuations.Finish/       | 400    |
      | in contact with all others             | GET    | /Evacuations.Begin/z1      | 404    |
      | in contact with all others             | POST   | /Evacuations.Other/z1      | 404    |
      | whose settings have no evacuations     | POST   | /Evacuations.Begin/z1      | 404    |
      | that is the leader and cut off         | POST   | /Evacuations.Begin/z1      | 503    |
      | that ran again after a pause of 2 s    | POST   | /Evacuations.Begin/z1      | 503    |
      | that knows an older state of the zone  | POST   | /Evacuations.Begin/z1      | 503    |

  # Guards against a second answer that differs from the first, which was lost.
  @simulation
  Scenario: A request whose answer was lost is acknowledged again by another VM
    Given a control VM in contact with all others
    When an operator sends "POST /Evacuations.Begin/z1"
    And an operator sends "POST /Evacuations.Begin/z1" to another control VM
    Then the HTTP status is 200
    And the zone "z1" has changed once

  # Guards against an evacuation that nobody remembers, and against changed output without one.
  @sessions
  Scenario: Status and metrics show the evacuations in force
    Given evacuations take 5 s on the VM
    Then the status names no evacuated zones, and the metrics count 0
    When the evacuation of the zone of "b2" has begun
    Then the status names the evacuated zone of "b2", and the metrics count 1
    When the evacuation of the zone of "b2" has ended
    Then the status names no evacuated zones, and the metrics count 0

  @sessions
  Scenario: Metrics of a deployment without evacuations have no figures about them
    Then the metrics have no line about evacuations

  # Guards against orders of events that no scenario above names.
  @homes
  Scenario: Zones that are evacuated and brought back at random get no requests after the bound
    Given evacuations take 5 s, and every entry VM has callers that read and write
    When zones are evacuated and brought back at random for 40 s while endpoints fail, with seed 1
    Then no request reached an endpoint of a zone later than 5 s after its evacuation
    And no VM of the simulation violated an invariant
    When all evacuations are finished
    And callers send for 6 s
    Then every caller's statement of the last 2 s was served
