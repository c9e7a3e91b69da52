Feature: Bad input runs nothing, and answers of endpoints are checked
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

  Scenario: A token of another fleet is refused, one of this fleet is read
    Then a token signed by another fleet is refused
    And a token signed by this fleet is read with its positions

  Scenario: A token that was changed is refused
    Then no token with one changed character is read

  Scenario Outline: An answer that does not fit its exchange never reaches a caller
    When an endpoint answers exchange "vm1-7" with <answer>
    Then the answer counts as lost

    Examples:
      | answer                                                       |
      | {"exchange": "vm1-8", "status": "ok", "rows": [["secret"]], "changed": 0, "position": null, "age_ms": 0, "code": "", "message": "", "repeated": false} |
      | {"exchange": "vm1-7", "status": "ok"}                        |
      | {"exchange": "vm1-7", "status": "strange", "rows": []}       |
      | {"exchange": "vm1-7", "st                                    |

  Scenario: All faults of the settings are reported at once, with flag, range and remedy
    When the daemon starts with the flags "--name=vm1 --zone=z --listen=here:1 --freshness_s=99"
    Then it exits with 2
    And it names "--listen" and "IP:PORT"
    And it names "--freshness_s" and "from 0.5 to 30 seconds"
    And it names "GENTIANSPREAD_FLEET_SECRET" and "at least 16 characters"

  Scenario: The operator's command names what is missing
    When the command runs with the words "status"
    Then it exits with 2
    And it names "GENTIANSPREAD_OPERATOR_KEY" and "--operator_key_file"

  Scenario Outline: A message between VMs counts only with the fleet's signature
    When a message between VMs shows the signature "<signature>"
    Then the message is refused

    Examples:
      | signature |
      | none      |
      | 00ff      |
      | é         |

  Scenario: A body that is too long, or says no length, is refused unread
    Then a body of 99999999 bytes is refused with "bad_request"
    And a body without a length is refused with "bad_request"
