Feature: Metrics never interrupt the work that they measure

  Scenario: Metrics are aggregated and sent under their documented names
    Given a statsd server and a metrics client
    When 3 requests are accepted and 2 wait
    Then the server receives "marigoldgap.entry-1.requests.accepted:3|c"
    And the server receives "marigoldgap.entry-1.queue.length:2|g"

  Scenario: Any value and suffix is accepted without an error
    Then no metric call raises an error, with and without a server

  Scenario: Timings are represented by a bounded number of samples
    Given a statsd server and a metrics client
    When 5000 timings are measured
    Then the server receives at most 100 samples

  Scenario: Every metric name is unique and has a description
    Then all metric names differ and have a meaning
