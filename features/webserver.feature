Feature: The small HTTP server and the links between VMs
  Background:
    Given a web server whose application answers with method, path and body

  Scenario: A request in pieces and two requests at once
    When the bytes "POST /a%20b HTTP/1.1|Content-Length: 3||xy" arrive, and "z" a little later
    Then the answers are "POST /a b xyz"
    When the bytes "GET /1?q HTTP/1.1||GET /2 HTTP/1.1||" arrive, and "" a little later
    Then the answers are "GET /1 , GET /2 "

  Scenario: A sender that waits before its body, and a body in chunks
    When the bytes "POST /c HTTP/1.1|Expect: 100-continue|Transfer-Encoding: chunked||" arrive, and "2|hi|0||" a little later
    Then the answers are "POST /c hi"
    And the sender was told to go on

  Scenario: What is no HTTP is refused and the connection ends
    When the bytes "NONSENSE||" arrive, and "" a little later
    Then the status is 400 and the connection has ended

  Scenario: A request that asks for it is the last on its connection
    When the bytes "GET /last HTTP/1.1|Connection: close||" arrive, and "" a little later
    Then the answers are "GET /last "
    And the connection has ended

  Scenario: A VM that takes no connection is given up soon
    Pattern: connection timeout below that of the answer, so that a lost opening packet costs little.
    When a VM whose queue of connections is full is asked within 3 s
    Then the asker knows within 0.5 s that nothing was sent
