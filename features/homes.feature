@homes
Feature: Statements are relayed to the home VMs that hold an endpoint's connections
  For each endpoint and workspace, one VM, the home, holds the connections; other VMs relay
  statements to it. The simulated VMs h1 to h6 are in the zones z1, z2, z3, z1, z2, z3, and the
  homes of an endpoint are in its zone. The endpoints b1 (the primary), b2 and b3 are in z1, z2 and
  z3, with 3 slots each, so "h3" is no home of the primary. The routes "latest" and "bounded" are
  those of load.feature.

  Scenario: Workspaces whose sessions are spread over many VMs need few connections
    Guards against a connection storm: one home VM holds the connections for each workspace and
    endpoint.
    Given 24 workspaces, each with one session on "bounded" and one on "latest" at each of two VMs
    When every session reads once per 0.5 s, for 6 rounds
    Then all reads were served within 0.25 s
    And at most 0.15 connections were opened to the endpoints per read

  Scenario: A relayed transaction stays on one connection of its home, with the session's values
    Given a session "a" on "latest" at "h3"
    When "a" sends at "h3" "SET tz utc"
    And "a" sends at "h3" "BEGIN"
    And "a" sends at "h3" "WRITE x 1"
    And "a" sends at "h3" "READ x"
    And "a" sends at "h3" "COMMIT"
    Then every statement of "a" succeeded
    And the statements ran in one transaction, with "tz" set to "utc"
    And no home or endpoint holds an open transaction

  Scenario: Reads are served again in time after the VM with the most connections stops answering
    Guards against every statement waiting for an unreachable home: after a failed relay, a VM uses
    another home.
    Given 4 workspaces, each with one session on "bounded" and one on "latest" at each of two VMs
    When every session reads once per 0.5 s, for 2 rounds
    And the VM that holds the most connections stops answering
    And every session reads once per 0.5 s, for 4 rounds
    Then the reads of the last 2 rounds were served within 0.5 s

  Scenario: A relayed write whose home does not answer has an unknown outcome and is not retried
    Given a session "a" on "latest" at "h3"
    When every VM but "h3" stops answering
    And "a" sends at "h3" "WRITE x 1"
    Then the last statement of "a" has an unknown outcome and was relayed once

  Scenario: A home whose configuration no longer has the key refuses a relayed statement
    Given a session "a" on "latest" at "h3"
    When every VM but "h3" has a configuration without keys
    And "a" sends at "h3" "WRITE x 1"
    Then the last statement of "a" was relayed, did not run and was reported as not run

  Scenario: A home rolls back the transaction of a relaying VM that disappears
    Given a session "a" on "latest" at "h3"
    When "a" sends at "h3" "BEGIN"
    And "a" sends at "h3" "WRITE x 1"
    Then one home holds an open transaction
    When "h3" disappears and 6 s pass
    Then no home or endpoint holds an open transaction

  Scenario: Connections opened before the homes were known are closed where another VM is the home
    Guards against idle connections that stay open unused and count against the endpoint's
    connection limit: a VM closes those that another VM is the home for.
    Given no VM has the list of VMs that serve callers
    And 24 workspaces, each with one session on "bounded" and one on "latest" at each of two VMs
    When every session reads once per 0.5 s, for 2 rounds
    And every VM receives the list of VMs that serve callers
    And every session reads once per 0.5 s, for 2 rounds
    Then only homes hold idle connections

  Scenario: Overloaded endpoints serve most of the reads that they can, over few connections
    Guards against metastable overload: one limit applies to the statements in flight from all homes
    together.
    Given the endpoints have 1 slot and need 0.02 s for each statement
    And 24 workspaces, each with one session on "bounded" and one on "latest" at each of two VMs
    When every session reads once per 0.5 s, for 6 rounds
    Then at least 0.7 of the reads that the slots can serve were served
    And at most 2 connections were opened to each endpoint for each of 24 workspaces

  Scenario: VMs that are cut off from all control VMs and from many others share their zones' rates
    Guards against refusals for a rate that is not used: each VM alone has a hundredth of it, and each
    token request to a VM that is out of reach would hold up the next one.
    Given 30 VMs that serve callers, and 40 workspaces with a rate of 24 and a burst of 24
    When 20 of these VMs are cut off from the control VM and from the others
    And 1 s pass
    And the VMs that are cut off receive 200 reads per second in all for 2 s
    Then the share of these reads that were served within 0.5 s is at least 0.9

  Scenario: VMs that are cut off ask few times for the tokens of a workspace above its rate
    Guards against polling: an allocator out of reach has no time at which it has tokens again.
    Given 30 VMs that serve callers, and 4 workspaces with a rate of 24 and a burst of 24
    When 20 of these VMs are cut off from the control VM and from the others
    And 1 s pass
    And the VMs that are cut off receive 200 reads per second in all for 2 s
    Then at most 3 token requests were made for each of these reads

  Scenario: No workspace gets more than its rate and the tolerance while most VMs are cut off
    The reads arrive for 2 s, 3 s of the rate are 72 reads, and the tolerance for 5 s is 34.
    Given 30 VMs that serve callers, and 4 workspaces with a rate of 24 and a burst of 24
    When 20 of these VMs are cut off from the control VM and from the others
    And 1 s pass
    And the VMs that are cut off receive 2000 reads per second in all for 2 s
    Then at most 106 of these reads ran for each workspace

  Scenario: No workspace gets more than its rate and the tolerance on both sides of a partition
    All VMs ask for far more than the rate, from the control VM's allocator and from backup allocators.
    In 5 s, 178 requests of a workspace may run: 1.1 times (5 s of the rate and the burst), and 20.
    Given 30 VMs that serve callers, and 4 workspaces with a rate of 24 and a burst of 24
    When all VMs receive 1500 reads per second in all for 6 s, and 20 are cut off after 3 s
    Then in no 5 s did more than 178 reads of a workspace run

  Scenario: Home VMs do not go on refusing an endpoint because of what other home VMs say
    Guards against a metastable failure: two homes that suspect a primary because of each other's
    refusals would refuse each other's statements for as long as there is load.
    Given 30 VMs that serve callers, and 12 workspaces with a rate of 1000 and a burst of 1000
    And every VM has a session on "latest" for each workspace
    When every home VM of "b1" hears from others that it cannot be reached, 0.1 s apart
    And the VMs receive 300 reads per second in all for 4 s
    Then the share of these reads sent after 2 s that were served is at least 0.99

  Scenario: A relaying VM learns a home's load from its replies, without a message of its own
    Guards against choosing by guesses: the home alone knows its queue and its running statements.
    Given endpoint loads are reported
    And a session "a" on "latest" at "h3"
    When "a" sends at "h3" "WRITE x 1"
    Then "h3" holds a load report of the home that it relayed to

  Scenario: No load is reported where neither settings nor the sizes of VMs call for it
    Given a session "a" on "latest" at "h3"
    When "a" sends at "h3" "WRITE x 1"
    Then "h3" holds no load report
