Feature: "Not run" means that the request did not run
  A caller who is told so may send the request again without fear.

  Scenario Outline: One fault
    Given a fleet that serves the old release to callers of every kind
    When <fault>
    Then nothing ran that was told as not run
    And all else that must always hold did so
    And callers got answers
    And the fleet comes to serve what is declared

    Examples:
      | fault                                     |
      | the engines refuse half of their requests |
      | the table does not answer                 |

  Scenario Outline: Two faults together
    Given a fleet that serves the old release to callers of every kind
    When <fault>
    And <other fault>
    Then nothing ran that was told as not run
    And all else that must always hold did so
    And callers got answers
    And the fleet comes to serve what is declared

    Examples:
      | fault                                     | other fault                           |
      | the engines refuse half of their requests | an entry is killed                    |
      | the targets are slow                      | a target's host is paused and resumes |
