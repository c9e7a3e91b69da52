@sessions
Feature: Under overload and failures, statements are served elsewhere or refused early

  Scenario: Reads that replicas can serve do not wait behind requests for a crashed primary
    Guards against head-of-line blocking: each kind of endpoint has a queue of its own.
    Given 30 sessions on "latest" and 30 on "bounded"
    When the primary crashes
    And every session sends a read every 0.1 s for 1 s
    Then all reads on "bounded" were served within 0.2 s

  Scenario: Reads that need a primary which has been down for long are refused at once
    Fail fast: whether a read is refused depends on how long the primary has been down.
    Given 5 sessions on "latest" and 0 on "bounded"
    When the endpoint "b3" crashes
    And the primary crashes
    And every session sends a read every 0.5 s for 4 s
    Then reads on "latest" sent after 3 s were refused as not run within 0.05 s

  Scenario: Reads that cannot be served before a failover can complete are refused at once
    Fail fast: whether a read is refused depends on the shortest time that a failover takes.
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

  Scenario: Lagging replicas get no further reads for a moment after they refused one
    Guards against a retry storm: a VM remembers for a moment which replica lags.
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
    Guards against connection churn: the cost of opening a connection counts for every statement
    that waits for its slot.
    Given 10 sessions on "bounded" for each of 4 workspaces
    When every session sends a read every 0.2 s for 4 s
    Then at most 0.1 connections were opened for each served read

  Scenario: An endpoint at its connection limit gets no repeated attempts to open another connection
    Guards against a retry storm: an idle connection is closed for the one that is needed.
    Given 1 sessions on "bounded" for each of 12 workspaces
    And each endpoint accepts at most 3 connections
    When every session sends a read every 0.2 s for 4 s
    Then all reads on "bounded" were served within 0.5 s

  Scenario: A replica that stops answering delays reads by at most half of their latency objective
    Guards against a gray failure: the timeout of an attempt is below the latency objective.
    Given 6 sessions on "bounded" and 0 on "latest"
    When "b2" stops answering
    And every session sends a read every 0.6 s for 6 s
    Then all reads on "bounded" were served within 0.5 s

  Scenario: Requests that would miss their latency objective at an overloaded primary are refused
    Guards against queue collapse: what cannot meet its latency objective is refused.
    Given a group whose endpoints have 1 slot and need 0.1 s for each statement
    And 40 sessions on "latest" and 0 on "bounded"
    When every session sends a read every 0.1 s for 4 s
    Then at least 30 reads on "latest" were served within 0.7 s
    And reads on "latest" sent after 0 s were answered within 1.1 s
