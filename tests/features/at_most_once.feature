Feature: What is not idempotent runs at most once
  Approval notices and price releases are never repeated by the system, whatever becomes of its replies.

  Scenario Outline: One fault
    Given a fleet that serves the old release to callers of every kind
    When <fault>
    Then nothing ran twice that must not
    And all else that must always hold did so
    And callers got answers
    And the fleet comes to serve what is declared

    Examples:
      | fault                                                |
      | the table takes writes and loses half of its replies |
      | a target's host is killed                            |

  Scenario Outline: Two faults together
    Given a fleet that serves the old release to callers of every kind
    When <fault>
    And <other fault>
    Then nothing ran twice that must not
    And all else that must always hold did so
    And callers got answers
    And the fleet comes to serve what is declared

    Examples:
      | fault                                                | other fault        |
      | the table takes writes and loses half of its replies | an entry is killed |
      | the engines break off half of their answers          | the table is slow  |
