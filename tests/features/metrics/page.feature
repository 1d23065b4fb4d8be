Feature: The page of the metrics

  Scenario: A name that cannot be encoded leaves the page readable
    Guards against a zone of the operator, with half of a surrogate pair in its
    name, that hides all metrics from the on-call engineer.
    When runs remain in a zone whose name has half of a surrogate pair
    Then the page of the metrics shows the zone and all other metrics
