Feature: A graceful shutdown cuts off no request in progress
  A process that is asked to leave ends what it has taken, however slow the targets are.

  Scenario Outline: One fault
    Given a fleet that serves the old release to callers of every kind
    When the targets are slow
    And <fault>
    Then no shutdown cut a request off
    And all else that must always hold did so
    And callers got answers
    And the fleet comes to serve what is declared

    Examples:
      | fault                                      |
      | an entry is shut down under load           |
      | a target's process is shut down under load |

  Scenario Outline: Two faults together
    Given a fleet that serves the old release to callers of every kind
    When the targets are slow
    And <fault>
    And <other fault>
    Then no shutdown cut a request off
    And all else that must always hold did so
    And callers got answers
    And the fleet comes to serve what is declared

    Examples:
      | fault                     | other fault                                |
      | the table is down         | an entry is shut down under load           |
      | the list of hosts is down | a target's process is shut down under load |
