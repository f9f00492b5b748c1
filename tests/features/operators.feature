Feature: A configuration is applied completely or not at all

  Scenario: Two operators change the same revision
    Given a revision is in force
    When two operators each apply a file made from it
    Then one file is accepted and the other is rejected with "race-lost"
    And every daemon that reads the log uses the accepted file

  Scenario: Records that are delivered again restore no older file
    Given a revision is in force
    When two operators each apply a file made from it
    And the log delivers its records a second time
    Then every daemon that reads the log uses the accepted file

  Scenario Outline: A file with <fault> changes nothing
    Given a revision is in force
    When an operator applies a file with <fault>
    Then the file is rejected with "bad-input"
    And the revision in force is unchanged

    Examples:
      | fault                         |
      | an unclosed bracket           |
      | an unknown team               |
      | an unknown field              |
      | a negative number of replicas |

  Scenario: A planned stop completes the requests in flight
    Given a server with a request in flight
    When the server is told to stop
    Then new connections are refused
    And the request in flight gets its complete response
