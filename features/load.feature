@sessions
Feature: Under overload and failures, statements are served elsewhere or refused early
  One simulated VM, in zone z1, serves sessions on a group of three endpoints with 3 slots each: b1,
  the primary, in z1, and the replicas b2 and b3 in z2 and z3. Reads on the route "latest" see every
  acknowledged commit, so only the primary serves them; those on "bounded" are at most 1.5 s old;
  those on "own" see the session's own writes and are at most 2.5 s old. The latency objective of
  each route is 0.5 s, and its timeout 1 s. "Version 2" replaces the first declared configuration.

  Scenario: Reads that replicas can serve do not wait behind requests for a crashed primary
    Guards against head-of-line blocking: each kind of endpoint has a queue of its own.
    Given 30 sessions on "latest" and 30 on "bounded"
    When the primary crashes
    And every session sends a read every 0.1 s for 1 s
    Then all reads on "bounded" were served within 0.2 s

  Scenario: Reads that need a primary are refused at once when it has been down for 3 s
    Fail fast: after 2 s without a primary, no new one is expected. "b3" crashes too, and a VM ends
    that may have handed on commits, so that no replica is promoted.
    Given 5 sessions on "latest" and 0 on "bounded"
    When the endpoint "b3" crashes
    And the primary crashes
    And a VM that serves callers ends
    And every session sends a read every 0.5 s for 4 s
    Then reads on "latest" sent after 3 s were refused as not run within 0.05 s

  Scenario: Reads that need a primary are refused at once when it has just crashed
    Fail fast: a failover takes at least 0.7 s, longer than a read may wait (0.5 s).
    Given 5 sessions on "latest" and 0 on "bounded"
    When the primary crashes
    And every session sends a read every 0.05 s for 0.15 s
    Then reads on "latest" sent after 0.05 s were refused as not run within 0.05 s

  Scenario: Callers are served while no allocator answers token requests
    Static stability: each VM falls back to an equal share of the rate.
    Given version 2 gives every workspace a rate of 40 and a burst of 40
    And 4 sessions on "bounded" and 0 on "latest"
    When no allocator answers
    And every session sends a read every 0.5 s for 2 s
    Then all reads on "bounded" were served within 0.5 s

  Scenario: A VM stays within its share of the rate while no allocator answers
    Given version 2 gives every workspace a rate of 40 and a burst of 40
    And 20 sessions on "bounded" and 0 on "latest"
    When no allocator answers
    And every session sends a read every 0.05 s for 3 s
    Then at most 40 reads ran

  Scenario: A workspace far above its rate causes few token requests
    Guards against a noisy neighbour: requests are refused at once while all allocators are known to
    have no tokens.
    Given version 2 gives every workspace a rate of 10 and a burst of 10
    And 50 sessions on "bounded" and 0 on "latest"
    When every session sends a read every 0.05 s for 2 s
    Then at most 70 token requests were made
    And at most 35 reads ran

  Scenario: A workspace above its rate is served alike on routes with short and long objectives
    Guards against starvation: requests that may wait longer for a token would take all of them.
    Given version 2 gives every workspace a rate of 20 and a burst of 20
    And the objective of "own" is 0.2 s and that of "bounded" 0.8 s
    And 10 sessions on "own" and 10 on "bounded"
    When 40 reads per second arrive on random sessions for 10 s
    Then the share of reads served on "own" is at least 0.7 times that on "bounded"

  Scenario: Lagging replicas refuse few reads, and all reads are served in time
    Guards against a retry storm: a VM avoids a replica that refused a read because of its lag, and
    checks it with one read per 0.25 s.
    Given 20 sessions on "bounded" and 0 on "latest"
    When the replicas receive no commits
    And the primary makes commits for 3 s that are not replicated
    And every session sends a read every 0.1 s for 2 s
    Then all reads on "bounded" were served within 0.5 s
    And the replicas refused at most 30 reads

  Scenario: Lagging replicas keep serving reads whose maximum age allows their lag
    Guards against reads with a strict maximum age taking a replica away from other reads: its lag
    is compared with the maximum age of each read.
    Given 12 sessions on "own" and 12 on "bounded"
    And the primary is in another zone than the VM
    When the replicas lag by 2 s and the primary commits every 0.05 s
    And every session sends a read every 0.2 s for 5 s
    Then all reads on "own" were served within 0.5 s
    And the replicas ran at least 0.9 of the reads on "own" sent after 3 s
    And the replicas refused at most 20 reads

  Scenario: Connections are reused under load instead of being replaced for other workspaces
    Guards against connection churn: the estimated cost of opening a connection includes the delay
    for other statements that wait for a slot of the endpoint.
    Given 10 sessions on "bounded" for each of 4 workspaces
    When every session sends a read every 0.2 s for 4 s
    Then at most 0.1 connections were opened for each served read

  Scenario: Reads of many workspaces are served in time at endpoints with few connections
    Guards against a retry storm: an idle connection is closed for the one that is needed.
    Given 1 sessions on "bounded" for each of 12 workspaces
    And each endpoint accepts at most 3 connections
    When every session sends a read every 0.2 s for 4 s
    Then all reads on "bounded" were served within 0.5 s

  Scenario: Reads are served within their latency objective although a replica stops answering
    Guards against a gray failure: the timeout of an attempt is below the latency objective, so that
    another endpoint can still serve the read.
    Given 6 sessions on "bounded" and 0 on "latest"
    When "b2" stops answering
    And every session sends a read every 0.6 s for 6 s
    Then all reads on "bounded" were served within 0.5 s

  Scenario: Every read at an overloaded primary is answered, and some are served, in bounded time
    Guards against queue collapse: what cannot meet its latency objective is refused.
    Given a group whose endpoints have 1 slot and need 0.1 s for each statement
    And 40 sessions on "latest" and 0 on "bounded"
    When every session sends a read every 0.1 s for 4 s
    Then at least 30 reads on "latest" were served within 0.7 s
    And reads on "latest" sent after 0 s were answered within 1.1 s

  Scenario: A read that lagging replicas refused is not sent to them again while the primary serves
    Guards against reads that go to and fro between lagging replicas while the primary is busy: on a
    large deployment each tried them up to ten times, and was refused for their lag in the end.
    Given endpoint loads are reported here
    And 18 sessions on "bounded" and 0 on "latest"
    When the replicas receive no commits
    And the primary makes commits for 3 s that are not replicated
    And statements take 0.07 s at the primary
    And every session sends a read every 0.1 s for 2 s
    Then no read was refused twice by the same replica for its lag
