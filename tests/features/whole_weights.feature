Feature: No answer comes from partial or mixed weights
  While a new release spreads, whatever fails, an engine serves one whole release or the other.

  Scenario Outline: A fault of the origin, all through the spread
    Given a fleet that serves the old release to callers of every kind
    When <fault>
    And an operator moves the service to the new release
    Then no answer came from partial or mixed weights
    And all else that must always hold did so
    And callers got answers
    And the fleet comes to serve what is declared

    Examples:
      | fault                           |
      | the origin sends corrupt chunks |
      | the origin is down              |
      | the link of the origin stalls   |

  Scenario Outline: A fault in the middle of the spread
    Given a fleet that serves the old release to callers of every kind
    When an operator moves the service to the new release
    And <fault>
    Then no answer came from partial or mixed weights
    And all else that must always hold did so
    And callers got answers
    And the fleet comes to serve what is declared

    Examples:
      | fault                                                         |
      | a target's host is killed                                     |
      | the operator goes back to the old release in the middle of it |

  Scenario Outline: Two faults together
    Given a fleet that serves the old release to callers of every kind
    When <fault>
    And an operator moves the service to the new release
    And <other fault>
    Then no answer came from partial or mixed weights
    And all else that must always hold did so
    And callers got answers
    And the fleet comes to serve what is declared

    Examples:
      | fault                                 | other fault                                                   |
      | the origin sends corrupt chunks       | a target's host is killed                                     |
      | a target's host is paused and resumes | the operator goes back to the old release in the middle of it |
      | the link of the origin stalls         | the table is down                                             |
