Feature: The platform's messages and documents are decoded, and malformed ones refused

  Scenario Outline: A caller's statement is decoded, and one that the protocol does not allow is malformed
    When the text "<text>" is decoded
    Then its verb is "<verb>"

    Examples:
      | text                 | verb       |
      | READ 1a4             | read       |
      | WRITE 1a4 xk pq      | write      |
      | SET a b c            | set        |
      | SET a                | malformed  |
      | PREPARE s READ q2c   | prepare    |
      | PREPARE s DROP q2c   | malformed  |
      | PREPARE s READ       | malformed  |
      | EXECUTE s 1a4        | execute    |
      | EXECUTE s            | malformed  |
      | DEALLOC s            | deallocate |
      | DEALLOC s t          | malformed  |
      | BEGIN                | begin      |
      | BEGIN READ           | begin read |
      | BEGIN WRITE          | malformed  |
      | COMMIT               | commit     |
      | ROLLBACK             | rollback   |
      | COMMIT now           | malformed  |
      | WAITPOS 1.1 READ x   | malformed  |
      | STATUS               | malformed  |
      | PAUSE 9              | malformed  |
      | READ                 | malformed  |
      | READ a b             | malformed  |
      | WRITE a              | malformed  |

  Scenario: A caller cannot send a statement with the id that the proxy uses for its own
    When the text "READ x" is decoded with the id "-"
    Then its verb is "malformed"

  Scenario Outline: Lines are read from input that arrives in pieces, joined together or malformed
    When the bytes "<bytes>" arrive
    Then the lines read are "<lines>"

    Examples:
      | bytes                    | lines             |
      | OPEN a b\r\n             | OPEN a b          |
      | QUERY 1 READ x\r\nCLO    | QUERY 1 READ x    |
      | A\r\nB\r\nC\r\n          | A,B,C             |
      | A\r\nB\nC\r\n            | A,error           |
      | A\r\nB\rC\r\n            | A,error           |

  Scenario: A line that is longer than the protocol's limit is refused before it ends
    When more than the maximum message length arrives without a line end
    Then the lines read are "error"

  Scenario: A statement is sent to an endpoint with its id and text unchanged
    When a read of "READ 1a4" with the id "5c0e" is encoded for a log position 3.1207
    Then the message is "QUERY 5c0e WAITPOS 3.1207 READ 1a4\r\n"

  Scenario Outline: A refusal is encoded as the error word that fits its code and result
    When a refusal "<code>" with the result "<result>" is encoded
    Then the message starts with "ERROR <word> "

    Examples:
      | code                    | result  | word      |
      | rate_limited            | not run | BUSY      |
      | configuration_not_fresh | not run | BUSY      |
      | deadline_passed         | not run | BUSY      |
      | deadline_passed         | unknown | TIMEOUT   |
      | outcome_unknown         | unknown | INDOUBT   |
      | transaction_unknown     | not run | ABORTED   |
      | term_changed            | not run | READONLY  |
      | replica_lagging         | not run | LAGGING   |
      | key_refused             | not run | AUTHFAIL  |
      | no_database             | not run | NODB      |
      | statement_failed        | unknown | FAILED    |
      | bad_request             | not run | MALFORMED |
      | no_statement            | not run | NOSTMT    |

  Scenario Outline: An invalid configuration document is refused
    When a configuration document with "<fault>" is decoded
    Then it is refused

    Examples:
      | fault            |
      | cut short        |
      | unknown group    |
      | two routes alike |
      | no time limit    |
      | a shared key     |
      | no version       |
      | a list           |

  Scenario Outline: A configuration document with an odd value is invalid
    Guards against a number in the control log that other VMs read back as no number.
    When a configuration document with <value> as <field> of its <item> is decoded
    Then it is refused
    And the refusal is shorter than 300 characters

    Examples:
      | item     | field          | value                      |
      | tenant   | ratePerS       | "inf"                      |
      | tenant   | ratePerS       | "NaN"                      |
      | tenant   | ratePerS       | true                       |
      | tenant   | ratePerS       | 1e400                      |
      | tenant   | burstSize      | "Infinity"                 |
      | tenant   | burstSize      | {}                         |
      | tenant   | apiKeys        | [7]                        |
      | route    | timeoutMs      | true                       |
      | route    | timeoutMs      | "800"                      |
      | route    | targetLatencyMs | false                     |
      | route    | maxStalenessMs | [1]                        |
      | route    | priority       | 99999999999999999999999999 |
      | route    | host           | "\ud800"                   |
      | route    | routeType      | ["primary"]                |
      | service  | maxConns       | 1e300                      |
      | service  | syncReplicas   | "1"                        |
      | document | version        | 99999999999999999999999999 |
      | document | version        | 1.0                        |
      | document | limits         | {"txIdleMs": true}         |
      | document | limits         | null                       |
      | document | tenants        | ""                         |
      | document | tenants        | {}                         |
      | tenant   | apiKeys        | "key-one"                  |
      | document | version        | 800 nested lists           |
      | document | routes         | 800 nested lists           |
      | route    | name           | 800 nested lists           |
      | route    | service        | 800 nested lists           |
      | route    | routeType      | 800 nested lists           |
      | route    | host           | 800 nested lists           |
      | route    | timeoutMs      | 800 nested lists           |
      | tenant   | name           | 800 nested lists           |
      | tenant   | ratePerS       | 800 nested lists           |
      | route    | service        | a text of 100000 letters   |
      | tenant   | ratePerS       | a text of 100000 letters   |

  Scenario: A valid configuration document is decoded into routes, groups and workspaces
    When a configuration document with "nothing wrong" is decoded
    Then it holds version 7, 2 routes, 1 group and 2 workspaces
    And it holds no key in plain text outside the document itself

  Scenario Outline: A malformed announcement is ignored
    When the announcement "<body>" of "e1" is decoded
    Then it describes no endpoint

    Examples:
      | body                                                                 |
      | not json                                                             |
      | []                                                                   |
      | {}                                                                   |
      | {"service":1,"address":"1.2.3.4:5","zone":"z","state":"ready"}       |
      | {"service":"s","address":"1.2.3.4:5","zone":"z","state":"sleeping","slots":1,"dbRole":"replica","sequence":1} |
      | {"service":"s","address":"1.2.3.4","zone":"z","state":"ready","slots":1,"dbRole":"replica","sequence":1}      |
      | {"service":"s","address":"1.2.3.4:5","zone":"z","state":"ready","slots":"3","dbRole":"replica","sequence":1}  |

  Scenario Outline: A statement whose id is not UTF-8 is refused, one whose data is not is forwarded
    Guards against an id that later ends what logs or relays it.
    When the bytes "<line>" of a statement are decoded
    Then its verb is "<verb>" and its bytes are unchanged

    Examples:
      | line                     | verb      |
      | \xff\xfe1 READ a         | malformed |
      | \xed\xa0\x80 READ a      | malformed |
      | a\xc3 COMMIT             | malformed |
      | \xc3\xa9 READ a          | read      |
      | id-1 WRITE a \xff\xfe    | write     |
      | id-1 READ a              | read      |

  Scenario Outline: A prepared statement has one word as its name at endpoints
    Guards against a shape whose blanks make it a part of the name, and so another statement.
    When a read of the shape "<shape>" is prepared and executed with the item "i7"
    Then the endpoint prepares and executes the same name, with the shape and "i7" unchanged

    Examples:
      | shape            |
      | q2c              |
      | select a from b  |
      | READ x           |
      | a                |
      | \xff \xfe        |

  Scenario: Prepared statements of different shapes have different names
    Guards against a statement that runs with the shape of another.
    Then 1000 shapes have 1000 names of at most 66 characters
