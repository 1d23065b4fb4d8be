Feature: Instances that left do not keep steps from their advice

  Scenario Outline: The proxies that <calls> calls use while <failing> of 7 fail
    Guards against slow calls that go only to instances which left for good, as
    these count among the proxies (LOST, review case 7).
    Given a leader and 6 other proxies for advice
    When the calls through the last <failing> proxies fail
    Then <calls> calls use <count> proxies, the leader <leader>

    Examples:
      | failing | calls | count | leader   |
      | 0       | quick | 7     | included |
      | 0       | slow  | 6     | excluded |
      | 3       | slow  | 3     | excluded |
      | 4       | slow  | 3     | included |
      | 6       | slow  | 1     | included |
      | 6       | quick | 1     | included |

  Scenario: The pause of a proxy that fails grows up to a bound
    Guards against a call in each second that fails only at its time limit.
    Given a leader and 1 other proxies for advice
    Then the pauses after failures of the other proxy are 1, 2, 4, 8, 8 s
    And the pauses after failures of the leader are 1, 1, 1, 1, 1 s
    And the pause after 5000 failures of the other proxy is 8 s

  Scenario: Instances that failed together are soon used again
    Guards against calls that go through few instances for long after the link of
    the leader was cut, as those that failed are tried one after the other.
    Given a leader and 42 other proxies for advice
    When the calls through the last 42 proxies fail
    And no call for advice is made for 10 s
    Then all proxies are used after 6 rounds of calls that succeed

  Scenario: Proxies that fail are tried again one at a time beside one that does not
    Guards against many steps that wait for calls through instances that left.
    Given a leader and 6 other proxies for advice
    When the calls through the last 6 proxies fail
    And no call for advice is made for 10 s
    Then slow calls use 1 proxies, the leader included
    When the leader has a call in progress
    Then slow calls use 1 proxies, the leader excluded
    When a proxy that has failed is tried again
    Then slow calls use 0 proxies, the leader excluded

  Scenario: A proxy that is no longer registered is forgotten
    Guards against an entry for each instance that ever failed.
    Given a leader and 6 other proxies for advice
    When the calls through the last 6 proxies fail
    And the last 6 proxies are no longer registered
    Then no failures are remembered

  Scenario: Slow calls are answered although six of seven instances left
    Guards against steps that wait for advice while the leader is idle (LOST,
    review case 7).
    Given 4 workers with 4 cores each
    And 8 waiting tasks of a queue with slow advice
    When their advice calls go to a leader and 6 silent proxies
    Then all 8 tasks get their advice within 8 s

  Scenario: Waiting calls are examined once for all requests of a plan
    Guards against a leader that stops answering while it requests advice for each
    step of a large backlog, so that no leader lasts (LOST, review case 11).
    Given 4 workers with 4 cores each
    And 200 waiting tasks of a queue with slow advice
    When they request advice together while the only instance is busy
    Then no waiting call has been examined more than 3 times

  Scenario Outline: An instance that answers with <odd> fails as a proxy
    Guards against calls for advice that always go to an instance whose answers
    cannot be read, as their errors are not those of a failed call.
    When an instance answers a call for advice with <odd>
    Then the call has failed with "answer-invalid"

    Examples:
      | odd                 |
      | no fields           |
      | a list of tickets   |
      | a validity of a text |
