Feature: Every caller receives the whole answer to its own request
  Answers may come late, in pieces or from a second target; a caller gets all of its own or is told.

  Scenario Outline: One fault
    Given a fleet that serves the old release to callers of every kind
    When <fault>
    Then every answer was whole and its caller's own
    And all else that must always hold did so
    And callers got answers
    And the fleet comes to serve what is declared

    Examples:
      | fault                                       |
      | the engines break off half of their answers |
      | an entry is killed                          |
      | a target's host is paused and resumes       |

  Scenario Outline: Two faults together
    Given a fleet that serves the old release to callers of every kind
    When <fault>
    And <other fault>
    Then every answer was whole and its caller's own
    And all else that must always hold did so
    And callers got answers
    And the fleet comes to serve what is declared

    Examples:
      | fault                                       | other fault                    |
      | the engines break off half of their answers | an entry is paused and resumes |
      | a target's host is killed                   | the object store is down       |
