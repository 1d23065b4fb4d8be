Feature: Connections that a process opens stay within its descriptors

  Scenario: Unused connections are closed beyond a limit
    Guards against a leader that has opened several connections to each of
    thousands of workers and has no descriptor left for others.
    Given a pool that may keep 3 connections
    When 6 servers are called one after the other
    Then the process has opened at most 3 connections
    And the servers that were called last still have theirs

  Scenario: Connections outside the pool count as well
    Guards against sessions with workers that get no descriptor, as the pool
    keeps connections that nobody uses.
    Given a pool that may keep 3 connections
    When 2 connections are opened outside the pool
    And 6 servers are called one after the other
    Then the process has opened at most 3 connections
    And those outside the pool are open

  Scenario: A connection that was opened without a check is checked later
    Guards against a start that reaches another process of a worker, since the
    connection was opened for a stop, which needs no check (review case 5).
    Given a pool that may keep 3 connections
    When a server is called without a check
    And it is called with a check that fails
    Then only the call without a check has reached it
    When it is called with a check that takes 0 s
    Then 2 calls have reached it

  Scenario: A request is not sent long after its permission was examined
    Guards against a start that a former leader sends seconds after its
    authority has ended, as the check of the connection was slow.
    Given a pool that may keep 3 connections
    When a server is called with a check that takes 0.6 s
    Then no call has reached it
    When it is called with a check that takes 0.6 s
    Then 1 calls have reached it

  Scenario: A connection that closes during the check has sent nothing
    Guards against a start that counts as possibly executed, though only the
    check was sent.
    Given a pool that may keep 3 connections
    When a server is called with a check after which it closes
    Then no call has reached it
