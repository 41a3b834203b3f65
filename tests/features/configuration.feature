Feature: An accepted command is in force everywhere within seconds and never reverts
  Who is told that a command is accepted need not look after it.

  Scenario Outline: One fault
    Given a fleet that serves the old release to callers of every kind
    When operators keep giving commands
    And <fault>
    Then every accepted command is in force and stayed so
    And all else that must always hold did so
    And callers got answers
    And the fleet comes to serve what is declared

    Examples:
      | fault                                                |
      | two operators give conflicting commands at once      |
      | the table takes writes and loses half of its replies |
      | an entry is killed                                   |

  Scenario Outline: Two faults together
    Given a fleet that serves the old release to callers of every kind
    When operators keep giving commands
    And <fault>
    And <other fault>
    Then every accepted command is in force and stayed so
    And all else that must always hold did so
    And callers got answers
    And the fleet comes to serve what is declared

    Examples:
      | fault                                                | other fault                                     |
      | the table is slow                                    | two operators give conflicting commands at once |
      | the table takes writes and loses half of its replies | an entry is paused and resumes                  |
      | the list of hosts is down                            | a target's host is killed                       |
