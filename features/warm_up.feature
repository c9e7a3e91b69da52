@cold
Feature: A cold endpoint gets no more requests than it takes, summed over all VMs
  An endpoint that has just started, or whose zone was evacuated, is slow for a while. The simulated
  VMs h1 to h12 are in the zones z1, z2 and z3 in turn, and the endpoints b1 (the primary), b2 and
  b3 in z1, z2 and z3. The VM that leads the control log grants all tokens. A cold endpoint takes
  1.5 times its declared rate and 5 requests more in any second. The routes are those of
  load.feature.

  Scenario: The limit of a cold primary holds over all VMs, is used, and the rest is refused at once
    Guards against a flood of an endpoint that has just started: 12 VMs send 240 requests/s to a
    primary that takes 10 of them.
    Given cold endpoints take 10 requests/s, and are cold for 30 s after an evacuation
    And "b1" announces that it stays cold for 60 s
    When each VM sends 20 writes/s of 6 workspaces on "latest" for 5 s
    Then "b1" got at most 20 requests in any second
    And "b1" got at least 10 requests/s
    And the others were refused within 0.05 s as not run
    And the metrics tell how many requests home VMs sent and refused, and of one cold endpoint

  Scenario: Less than one token for each VM is still used
    Guards against an equal split of the limit, of which no VM would have a whole request.
    Given cold endpoints take 2 requests/s, and are cold for 30 s after an evacuation
    And "b1" announces that it stays cold for 60 s
    When each VM sends 2 writes/s of 6 workspaces on "latest" for 10 s
    Then "b1" got at most 8 requests in any second
    And "b1" got at least 2 requests/s

  Scenario: The limit holds for VMs that know no homes and open their own connections
    Guards against requests that bypass the home VMs without a token.
    Given cold endpoints take 10 requests/s, and are cold for 30 s after an evacuation
    And "b1" announces that it stays cold for 60 s
    And no VM has a list of VMs that serve callers
    When each VM sends 10 writes/s of 6 workspaces on "latest" for 5 s
    Then "b1" got at most 20 requests in any second
    And "b1" got at least 10 requests/s
    And the others were refused within 0.05 s as not run

  Scenario: Reads go to other endpoints once a cold replica is at its limit
    Guards against reads that are refused while a warm endpoint could serve them.
    Given cold endpoints take 4 requests/s, and are cold for 30 s after an evacuation
    And "b2" announces that it stays cold for 60 s
    When each VM sends 10 reads/s of 6 workspaces on "bounded" for 5 s
    Then "b2" got at most 11 requests in any second
    And "b2" got at least 1 requests/s
    And all statements were served

  Scenario: A group in which every endpoint is cold serves what the limits permit
    Guards against requests that wait in queues for endpoints that cannot run them in time.
    Given cold endpoints take 4 requests/s, and are cold for 30 s after an evacuation
    And every endpoint announces that it stays cold for 60 s
    When each VM sends 20 reads/s of 6 workspaces on "bounded" for 5 s
    Then each endpoint got at most 11 requests in any second
    And the endpoints together got at least 12 requests/s
    And the others were refused within 0.05 s as not run

  Scenario: Statements of open transactions and commits need tokens, and go before new work
    Guards against open transactions that exceed the limit, or starve behind new requests.
    Given cold endpoints take 10 requests/s, and are cold for 30 s after an evacuation
    And 8 open transactions on "latest"
    And "b1" announces that it stays cold for 60 s
    When each open transaction writes 3 times and commits, while each VM sends 10 writes/s
    Then "b1" got at most 20 requests in any second
    And at least 6 of the transactions committed

  Scenario: Requests that arrive while tokens are on their way get tokens of their own
    Guards against refusals while the limit still permits requests.
    Given cold endpoints take 50 requests/s, and are cold for 30 s after an evacuation
    And "b1" announces that it stays cold for 60 s
    And no VM has a list of VMs that serve callers
    When 5 callers of "h1" write on "latest" 0.0005 s after each other
    Then all statements were served

  Scenario: A statement whose transaction ends while it waits for a token does not run
    Guards against writes outside their transaction, which nothing would roll back.
    Given cold endpoints take 0.2 requests/s, and are cold for 30 s after an evacuation
    And 8 open transactions on "latest"
    And "b1" announces that it stays cold for 60 s
    When each open transaction writes once more, and its caller leaves while the write waits
    And "b1" announces that it stays cold for 0 s
    Then at most 5 of these writes reached "b1", and none was committed

  Scenario Outline: A statement that waits for a token does not run once its zone is evacuated
    Guards against statements that reach an evacuated zone after the bound.
    Given cold endpoints take 10 requests/s, and are cold for 30 s after an evacuation
    And evacuations take 5 s, and requests may wait for 4 s
    And <homes> at which a transaction has written to "b1"
    When the zone of "b1" is evacuated, and no endpoint takes over
    And its next statement waits for a token from <start> s after that on
    And the allocator answers again 3 s after that, and 4 s pass
    Then this statement was refused as "transaction_unknown", and did not run
    And the VMs count 1 ended transaction, and no connection is in a transaction

    Examples:
      | homes                     | start |
      | a VM without home VMs     | 1.5   |
      | a VM that relays          | 1.5   |

  Scenario Outline: A statement that is permitted after the time for requests is not sent
    Guards against a statement that waited elsewhere, as for its rate limit, while others ended.
    Given evacuations take 5 s, and requests may wait for 4 s
    And <homes> at which a transaction has written to "b1"
    When the zone of "b1" is evacuated, and no endpoint takes over
    And the time for requests ends unnoticed, and its next statement is permitted
    Then this statement was refused as "transaction_unknown", and did not run

    Examples:
      | homes                     |
      | a VM without home VMs     |
      | a VM that relays          |

  Scenario: A sender believes a home VM that has no token, also if it does not know of the warm-up
    Guards against a statement that is relayed again and again within its time.
    Given cold endpoints take 0.2 requests/s, and are cold for 30 s after an evacuation
    And "b1" is cold at all VMs of "z1" alone
    When each VM sends 5 writes/s on "latest" for 2 s
    Then "b1" got at most 5 requests in any second
    And the others were refused within 0.05 s as not run
    And at most 3 statements were relayed for each write

  Scenario: Without a token there is no request while the allocator does not answer
    Given cold endpoints take 10 requests/s, and are cold for 30 s after an evacuation
    And "b1" announces that it stays cold for 60 s
    And the allocator does not answer
    When each VM sends 5 writes/s of 6 workspaces on "latest" for 3 s
    Then "b1" got no requests
    And the others were refused within 0.25 s as not run

  Scenario: Tokens whose answer is lost are not granted again
    Guards against a limit that is exceeded when the link to the allocator fails midway.
    Given cold endpoints take 10 requests/s, and are cold for 30 s after an evacuation
    And "b1" announces that it stays cold for 60 s
    And the answers of the allocator are lost
    When each VM sends 5 writes/s of 6 workspaces on "latest" for 3 s
    Then "b1" got no requests
    And the allocator granted at most 20 tokens for "b1" in any second

  Scenario: An allocator grants only once its predecessor can no longer be fresh
    Guards against two allocators that grant at the same time.
    Given an allocator for endpoints that take 10 requests/s
    When another VM becomes the allocator of its zone
    Then the new one grants nothing for 3.9 s
    And it then grants at most 20 tokens at once
    When the first one becomes the allocator again
    Then it grants nothing for 3.9 s

  Scenario: An allocator that restarts grants nothing while its earlier tokens may be spent
    Given an allocator for endpoints that take 10 requests/s
    When that allocator starts again
    Then it grants nothing for 0.09 s

  Scenario: An allocator that was just named and restarts waits for its predecessor
    Guards against two allocators that grant at the same time, if the second one starts again.
    Given an allocator for endpoints that take 10 requests/s
    When another VM becomes the allocator of its zone, and starts again
    Then the new one grants nothing for 3.9 s

  Scenario: An allocator grants for its endpoints only, and only while its configuration is fresh
    Guards against two allocators for one endpoint, and one that a partition has cut off.
    Given an allocator for endpoints that take 10 requests/s
    Then it grants nothing for endpoints of another zone
    And it grants nothing with a configuration that is not fresh

  Scenario Outline: The limit is what the settings and the declared rate allow
    Then a cold endpoint with <rate> requests/s, <factor> times it and <slack> more, gets <count>

    Examples:
      | rate | factor | slack | count |
      | 10   | 1.5    | 5     | 20    |
      | 2    | 1.5    | 5     | 8     |
      | 0.5  | 1.5    | 5     | 5     |
      | 1    | 1      | 0     | 1     |
      | 0.5  | 1      | 0     | 0     |
      | 200  | 1.5    | 5     | 305   |

  Scenario: A countdown is not written to the control log, news is
    Guards against an entry of the control log for every announcement.
    Given cold endpoints take 10 requests/s, and are cold for 30 s after an evacuation
    And "b1" announces that it stays cold for 10 s
    When 4 s pass
    Then an announcement of "b1" with 5.7 s left is not written to the control log
    But one with 9 s left is
    And one with 0 s left is
    And a second one with 0 s left is not
    And a first one of "b2" with 0 s left is not

  Scenario: An endpoint is warm once its time is over or it says so
    Given cold endpoints take 10 requests/s, and are cold for 30 s after an evacuation
    And "b1" announces that it stays cold for 5 s
    Then "b1" is cold at every VM
    When 5 s pass
    Then "b1" is warm at every VM
    When "b1" announces that it stays cold for 60 s
    Then "b1" is cold at every VM
    When "b1" announces that it stays cold for 0 s
    Then "b1" is warm at every VM
    And the timeline of "h1" tells when "b1" was cold and warm

  Scenario: An endpoint is cold after the evacuation of its zone, unless it says otherwise
    Given cold endpoints take 10 requests/s, and are cold for 30 s after an evacuation
    When the zone "z1" is evacuated and 1 s passes
    Then "b1" is warm at every VM
    When the evacuation of zone "z1" ends
    Then "b1" is cold at every VM
    And "b2" is warm at every VM
    When 31 s pass
    Then "b1" is warm at every VM
    When the zone "z1" is evacuated and 1 s passes
    And the evacuation of zone "z1" ends
    And "b1" announces that it stays cold for 3 s
    And 3 s pass
    Then "b1" is warm at every VM

  Scenario: An endpoint counts as cold after a lost connection until it announces itself anew
    Guards against a flood of an endpoint that started again before its announcement is known.
    Given cold endpoints take 10 requests/s, and are cold for 30 s after an evacuation
    When a connection of "h1" to "b1" is lost
    Then "b1" is cold at "h1"
    And "b1" is warm at "h2"
    When "b1" starts again and announces that it stays cold for 0 s
    Then "b1" is warm at "h1"

  Scenario: An announcement of an endpoint that did not start again ends the doubt after a loss
    Guards against endpoints that stay limited for long after a fault of the network.
    Given cold endpoints take 10 requests/s, and are cold for 30 s after an evacuation
    When connections of "h1" and "h2" to "b1" are lost
    And 2 s pass
    Then "b1" is cold at "h1"
    And the control log has one entry about the loss
    When "b1" announces itself and says nothing of its warm-up
    Then "b1" is warm at every VM
    When "b1" announces itself and says nothing of its warm-up
    Then that announcement was not written to the control log

  Scenario: Without an announcement an endpoint is warm after the time for which it may be cold
    Given cold endpoints take 10 requests/s, and are cold for 30 s after an evacuation
    When a connection of "h1" to "b1" is lost
    And 29 s pass
    Then "b1" is cold at "h1"
    When 2 s pass
    Then "b1" is warm at "h1"

  Scenario: A statement that timed out does not make its endpoint cold
    Guards against overload that throttles endpoints as if they had started again.
    Given cold endpoints take 10 requests/s, and are cold for 30 s after an evacuation
    When a statement of "h1" to "b1" gets no answer
    Then "b1" is warm at "h1"

  Scenario: A VM that starts learns from a snapshot which endpoints are cold
    Given cold endpoints take 10 requests/s, and are cold for 30 s after an evacuation
    And "b1" announces that it stays cold for 60 s
    Then a VM that starts counts "b1" as cold and "b2" as warm
    And a snapshot of the previous build loads, without cold endpoints

  Scenario: Without a limit nothing changes
    Guards against messages and entries of the control log in deployments without a limit.
    Given cold endpoints take 0 requests/s, and are cold for 30 s after an evacuation
    When "b1" announces that it stays cold for 60 s
    Then that announcement was not written to the control log
    When each VM sends 5 writes/s of 6 workspaces on "latest" for 2 s
    Then all statements were served
    And no VM asked for tokens of an endpoint
    And a declaration without limits and regions is stored as by the previous build

  Scenario: A reply of a home VM of the previous build is read
    Then a reply without "cold_s" is read, and one with it tells when the next token comes
    And a message for tokens is one that the previous build does not answer

  Scenario: The warm-up of an endpoint is proposed before its registration
    Guards against VMs that know an endpoint before they know that it is cold.
    Given cold endpoints take 10 requests/s, and are cold for 30 s after an evacuation
    When a new endpoint announces over the API that it stays cold for 5 s
    Then its warm-up and then its registration are proposed, and it is acknowledged

  Scenario: An endpoint registers while a leader of the previous build takes no warm-ups
    Given cold endpoints take 10 requests/s, and are cold for 30 s after an evacuation
    And the control leader takes no warm-ups
    When a new endpoint announces over the API that it stays cold for 5 s
    Then its warm-up and then its registration are proposed, and it is not acknowledged

  Scenario: Without a limit only the registration is proposed
    When a new endpoint announces over the API that it stays cold for 5 s
    Then only its registration is proposed, and it is acknowledged

  Scenario: Tokens are asked for and granted in messages between VMs
    Given cold endpoints take 10 requests/s, and are cold for 30 s after an evacuation
    Then the allocator answers a message for 3 tokens of "b1" with 3, and one of "b9" with none
    And a response without "granted" leaves a request for tokens unanswered

  Scenario: A doubt that another VM reports is proposed once, and only if it is about a known start
    Given cold endpoints take 10 requests/s, and are cold for 30 s after an evacuation
    When a VM reports twice that it lost connections to "b1", and to an endpoint that is not known
    Then one doubt about "b1" is proposed

  Scenario: A connection that the endpoint had closed counts as lost
    Guards against a flood after a restart that was noticed only by connections that had been idle.
    Then an exchange on a connection that the endpoint had closed was not sent, and reports the loss
