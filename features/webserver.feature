Feature: The HTTP server and the connections between VMs
  Background:
    Given a web server whose application answers with method, path and body

  Scenario: A request that arrives in pieces and two pipelined requests are answered
    When the bytes "POST /a%20b HTTP/1.1|Content-Length: 3||xy" arrive, and "z" a little later
    Then the response bodies are "POST /a b xyz"
    When the bytes "GET /1?q HTTP/1.1||GET /2 HTTP/1.1||" arrive, and "" a little later
    Then the response bodies are "GET /1 , GET /2 "

  Scenario: A request whose URL arrives in two reads is answered
    Guards against a wrong path: requests of other VMs were answered with 404 when a segment ended
    inside the URL.
    When the bytes "GET /first/sec" arrive, and "ond?q HTTP/1.1||" a little later
    Then the response bodies are "GET /first/second "

  Scenario: A URL that does not end is refused
    Guards against memory that grows with a URL.
    When the bytes of a URL of 9000 characters arrive
    Then the status is 400 and the connection is closed

  Scenario: Trailers that do not end are refused
    Guards against memory and processor time that grow with the trailers of a chunked body.
    When the bytes of a trailer of 49200 characters arrive
    Then the status is 400 and the connection is closed

  Scenario: The body of an answered request is not kept
    Guards against bodies that stay in memory, uncharged, while their connections are idle.
    When a body of 1024 KB is posted and answered on a connection that stays open
    Then nothing refers to the body any more

  Scenario: A request to change the protocol is refused
    Guards against an unhandled error of the parser.
    When the bytes "GET / HTTP/1.1|Connection: Upgrade|Upgrade: x||" arrive, and "" a little later
    Then the status is 400 and the connection is closed

  Scenario: A body over the limit is counted as such
    Guards against connections closed for the size of their message that no metric shows.
    Given the server accepts bodies of at most 10 bytes
    When the bytes "POST / HTTP/1.1|Content-Length: 11||" arrive, and "12345678901" a little later
    Then the status is 400 and the connection is closed
    And 1 connections were counted as closed for their size

  Scenario: A request that expects 100 Continue and has a chunked body is answered
    When the bytes "POST /c HTTP/1.1|Expect: 100-continue|Transfer-Encoding: chunked||" arrive, and "2|hi|0||" a little later
    Then the response bodies are "POST /c hi"
    And the sender received 100 Continue

  Scenario: A malformed request is refused and its connection is closed
    When the bytes "NONSENSE||" arrive, and "" a little later
    Then the status is 400 and the connection is closed

  Scenario: A request with "Connection: close" is the last on its connection
    When the bytes "GET /last HTTP/1.1|Connection: close||" arrive, and "" a little later
    Then the response bodies are "GET /last "
    And the connection is closed

  Scenario: A VM that accepts no connection is given up at the connect timeout
    The connect timeout is shorter than the response timeout, so that a lost SYN packet costs little.
    When a request with a timeout of 3 s is sent to a VM whose accept queue is full
    Then the request fails within 0.5 s as not sent
