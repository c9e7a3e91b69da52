Feature: Nothing from outside ends a loop
  An error in one item is logged and counted, and the loop goes on with the next one.

  Scenario: A handler that fails loses neither the pending changes nor the other handlers
    Guards against an error in one request's handler that leaves other requests without an answer.
    Given a queue of changes whose first handler fails
    When 3 changes are posted and run
    Then every other handler got all 3 changes, and 3 errors were reported

  Scenario: Without a report, the error of a handler is raised
    Guards against simulations that hide errors.
    Given a queue of changes whose first handler fails and whose errors nobody takes
    When 1 change is posted, running it raises

  Scenario: A timer whose handler failed before it set the next one is delivered again
    Guards against elections, heartbeats and checks that end for good after one error.
    Given a periodic handler that fails before it sets its next timer, 2 times
    When 10 s pass in steps of 0.1 s
    Then the handler ran at least 30 times and 2 errors were reported

  Scenario: A timer whose handler failed after it set the next one is not delivered twice
    Guards against timers that multiply with each error.
    Given a periodic handler that always fails after it set its next timer
    When 10 s pass in steps of 0.1 s
    Then the handler ran at most 101 times

  Scenario: A timer of one item whose handler always fails is given up
    Guards against timers that are delivered again for ever.
    Given a timer of one item whose handler always fails
    When 60 s pass in steps of 0.1 s
    Then the handler ran at most 11 times

  Scenario: The loop of the timers goes on after an error
    Guards against a front that never serves again after one error.
    Given a running loop of timers whose next timer fails
    Then a timer that is set after the error is delivered

  Scenario: A VM one of whose loops only fails is not ready until it goes on
    Guards against a VM that stays up, is ready, and does nothing.
    Given an entry VM with a fresh configuration and a loop whose steps fail
    Then it is not ready after at most 5 s
    When the steps of the loop succeed again
    Then it is ready after at most 1 s

  Scenario Outline: Polling goes on after a response that cannot be read
    Guards against a VM that stops following the configuration after one odd response.
    Given a VM that polls a control VM
    When the control VM answers 3 polls with <response>, and then as it should
    Then the VM has the configuration of the control VM
    And the errors were counted under "<place>"

    Examples:
      | response                          | place                             |
      | an empty object                   | polling                           |
      | a list                            | polling                           |
      | a number                          | polling                           |
      | an entry without a command        | polling                           |
      | a snapshot without endpoints      | handler of configuration_received |
      | an age that is a text             | polling                           |
      | observations without a position   | polling                           |
      | a list of serving VMs of numbers  | polling                           |

  @sessions
  Scenario Outline: An entry that no build of ours wrote takes its place in the log and changes nothing
    Guards against VMs that stop at an entry that they cannot read, at each restart again.
    When the log's record of a command is <record>, and a valid one follows
    Then both entries are applied, the first one is recorded as ignored
    And the first one is passed on as it was

    Examples:
      | record                                                                       |
      | {"kind":"later","fields":{},"change_id":"","expected_revision":null}         |
      | {"kind":["nothing"],"fields":{},"change_id":"","expected_revision":null}     |
      | {"kind":"nothing"}                                                           |
      | {"kind":"nothing","fields":{},"change_id":[1],"expected_revision":null}      |
      | {"kind":"declare","fields":[],"change_id":"","expected_revision":null}       |
      | {"kind":"set_primary"}                                                       |
      | {"kind":"unreadable","fields":{},"change_id":"","expected_revision":null}    |
      | {"kind":"name_primary","fields":{"group":[1]},"change_id":"","expected_revision":null} |
      | null                                                                         |
      | 7                                                                            |

  Scenario: Sending messages goes on after one that cannot be encoded
    Guards against a VM that sends no control messages after one error.
    Given a sender of messages to another VM
    When a message with an integer beyond 64 bits is sent, and then another
    Then the other one arrives

  Scenario: The control loop goes on after an error of the storage that is no failed write
    Guards against a control VM that stays up but takes no part in the log.
    Given a control loop whose storage raises 2 errors of its own
    When a batch is to be written
    Then the batch is written once, and its messages are sent after that
    And the errors were counted under "control log"

  Scenario Outline: A request to another VM that fails in an unexpected way ends as lost
    Guards against a caller without an answer after an odd response of a home VM.
    Given a statement that is relayed to a home VM
    When the home VM answers with <response>
    Then the end of the exchange is posted with a reply that is lost

    Examples:
      | response                         |
      | an empty object                  |
      | a list                           |
      | a status that does not exist     |
      | a text that Latin-1 cannot carry |
      | flags of another count           |

  Scenario: A relayed statement that no handler answers is refused after its limit
    Guards against a home VM that keeps relayed statements for ever and never stops as planned.
    Given a home VM whose handlers fail
    When a statement with a limit of 0.2 s is relayed to it
    Then it is refused after at most 2 s, and the home VM is not busy

  Scenario Outline: A VM with an empty disk asks again after a response that cannot be read
    Guards against a VM that never takes part in the log after one odd response.
    Given a VM that polls a control VM
    When it asks whether it may vote, and <response> comes before the true response
    Then it may vote

    Examples:
      | response        |
      | an empty object |
      | a list          |
      | a number        |

  Scenario Outline: A proposal that gets a response that cannot be read has an unknown outcome
    Guards against endpoints and operators without a response.
    Given a VM that knows another one as the control leader
    When it proposes a change and the leader answers with <response>
    Then the outcome of the change is unknown

    Examples:
      | response        |
      | an empty object |
      | a list          |
      | a number        |

  Scenario: A token request that fails in an unexpected way is answered as not reached
    Guards against requests that wait for tokens without end.
    Given a VM that asks another one for tokens
    When that VM answers with an empty object
    Then the end of the token request is posted without tokens

  Scenario: A statement whose handlers failed is answered at its time limit
    Guards against a caller without an answer after an error in a handler.
    Given a VM that serves a session whose statements no handler answers
    When a statement is sent with a limit of 0.2 s
    Then its outcome is unknown after at most 2 s

  Scenario: A route of the web server that fails is answered with an error
    Guards against connections that end without a response.
    Given a web server whose application fails
    When a request is sent to it
    Then the response has status 500, and the next request on the connection is answered
