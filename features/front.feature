Feature: Invalid input is refused before anything runs, and endpoints' replies are validated
  Scenario Outline: A malformed request is refused before anything runs
    When a caller sends <body>
    Then it is refused with "<code>"

    Examples:
      | body                                                                  | code        |
      | {                                                                     | bad_request |
      | []                                                                    | bad_request |
      | {"kind": "read"}                                                      | bad_request |
      | {"kind": "drop", "group": "g", "statement": "x"}                      | bad_request |
      | {"kind": "read", "group": "g", "statement": "x", "more": 1}           | bad_request |
      | {"kind": "read", "group": 7, "statement": "x"}                        | bad_request |
      | {"kind": "read", "group": "g", "statement": "x", "max_age_ms": -1}    | bad_request |
      | {"kind": "read", "group": "g", "statement": "x", "deadline_ms": 0}    | bad_request |
      | {"kind": "read", "group": "g", "statement": ""}                       | bad_request |
      | {"kind": "commit", "group": "g"}                                      | bad_request |
      | {"kind": "begin", "group": "g", "transaction": "t"}                   | bad_request |
      | {"kind": "write", "group": "g", "statement": "x", "max_age_ms": 5}    | bad_request |
      | {"kind": "read", "group": "g", "statement": "x", "token": "%%%"}      | bad_token   |
      | {"kind": "read", "group": "g", "statement": "x", "token": "AAAA"}     | bad_token   |

  Scenario: A session token signed by another fleet is refused, and this fleet's own is accepted
    Then a token signed by another fleet is refused
    And a token signed by this fleet is decoded with its positions

  Scenario: A session token that was tampered with is refused
    Then a token with one changed character is refused, or decoded with unchanged positions

  Scenario Outline: An endpoint's reply that is malformed or belongs to another exchange never reaches a caller
    When an endpoint replies to exchange "vm1-7" with <reply>
    Then the reply counts as lost

    Examples:
      | reply                                                        |
      | {"exchange": "vm1-8", "status": "ok", "rows": [["secret"]], "changed": 0, "position": null, "age_ms": 0, "code": "", "message": "", "repeated": false} |
      | {"exchange": "vm1-7", "status": "ok"}                        |
      | {"exchange": "vm1-7", "status": "strange", "rows": []}       |
      | {"exchange": "vm1-7", "st                                    |

  Scenario: All invalid settings are reported at once, each with its valid form or range
    When the daemon starts with the flags "--name=vm1 --zone=z --listen=here:1 --freshness_s=99"
    Then it exits with status 2
    And its output contains "--listen" and "IP:PORT"
    And its output contains "--freshness_s" and "from 0.5 to 30 seconds"
    And its output contains "GENTIANSPREAD_FLEET_SECRET" and "at least 16 characters"

  Scenario: The operator's command reports that its key is missing and how to set it
    When the command runs with the arguments "status"
    Then it exits with status 2
    And its output contains "GENTIANSPREAD_OPERATOR_KEY" and "--operator_key_file"

  Scenario Outline: A message between VMs without the fleet's signature is refused
    When a message between VMs has the signature "<signature>"
    Then the message is refused, and one with a valid signature is accepted

    Examples:
      | signature |
      | none      |
      | 00ff      |
      | é         |

  Scenario: A request body that is too long or has no declared length is refused unread
    Then a body of 99999999 bytes is refused with "bad_request"
    And a body without a length is refused with "bad_request"
