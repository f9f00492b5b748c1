Feature: A configuration is applied whole or not at all

  Scenario: Two operators change the same revision
    Given a revision is in force
    When two operators each apply a file made from it
    Then one is told it is accepted and the other that it lost the race
    And every daemon that reads the log runs the accepted file

  Scenario: An older file never comes back
    Given a revision is in force
    When two operators each apply a file made from it
    And the log delivers the accepted record a second time
    Then every daemon that reads the log runs the accepted file

  Scenario Outline: A file with <fault> changes nothing
    Given a revision is in force
    When an operator applies a file with <fault>
    Then the operator is told of bad input
    And the revision in force is the same

    Examples:
      | fault               |
      | a broken bracket    |
      | an unknown team     |
      | an unknown name     |
      | a negative amount   |

  Scenario: A planned stop cuts off no request
    Given a server with a request in flight
    When it is told to stop
    Then new connections are refused
    And the request in flight gets its whole answer
