Feature: Costs at the target size are projected from measured slopes

  Scenario: The fit recovers an exact line
    # Guards against a fit of x on y, or of the wrong column.
    Then the fit recovers exact lines with random slopes and intercepts

  Scenario: The residuals are the distances of the points from the line
    Given the capacity points "0:10 1:13 2:10 3:13"
    When the capacity line is fitted
    Then the capacity slope is 0.6 and the intercept is 10.6
    And the capacity residuals are "-0.6 1.8 -1.8 0.6"

  Scenario: A fit needs two distinct values
    Given the capacity points "4:1 4:2"
    Then the capacity fit is refused with "unfittable"

  Scenario Outline: Points of different series are never fitted together
    # Guards against one slope over several variables, measures or roles.
    Given the capacity points "0:1 1:2"
    And one more capacity point whose "<field>" is "<other>"
    Then the capacity fit is refused with "mixed-series"

    Examples:
      | field   | other          |
      | sweep   | running tasks  |
      | measure | memory         |
      | role    | coordinator    |
      | x_unit  | workers        |
      | y_unit  | MiB            |

  Scenario: The cost is the slope times the number plus the intercept
    Given the capacity points "0:12 10:32"
    When the capacity line is fitted
    Then 1461 "requests/s" cost 2922 "ms/s" above the intercept of 12
    And the arithmetic shows the slope and "1,461 requests/s"

  Scenario Outline: A number of the wrong unit is refused
    # Guards against workers of a zone multiplied by a slope per worker of an
    # entry instance.
    Given the capacity points "0:12 10:32"
    When the capacity line is fitted
    Then a capacity product with 5 "<unit>" is refused with "wrong-unit"

    Examples:
      | unit                    |
      | jobs/s                  |
      | requests/s of the entry |

  Scenario: Costs of different units are neither added nor compared
    Then adding "ms/s" to "MiB" is refused with "wrong-unit"
    And comparing "B/s" with a limit in "ms/s" is refused with "wrong-unit"

  Scenario: The limits are those of the design page
    Then the capacity limits are 4.9% of a core, 128 MB and 9 KB/s

  Scenario: Control of an entry instance counts base, peers, workers and changes
    # Guards against a base cost that is counted once for each sweep.
    Given capacity fits of 2 ms/s per peer, 1 ms/s per worker and base 10
    Then control with 73 entry instances costs about 10 + 144 + 20.02 ms/s
    And 27 entry instances have the least control cost
    # 6: 10 + 2 x 5 + 1461.5 / 6 + 3 x 769.2 / 6 = 648; 5: 772.
    And with 3 ms/s per request/s and a peak of 10000 requests/s in 13 zones, 6 entry instances stay below 750 ms/s each

  Scenario: Points are unchanged after a file round trip
    Given the capacity points "0:10 1:13 2:10.25"
    Then the capacity points are equal after writing and reading
