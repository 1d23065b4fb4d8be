Feature: Connections are dropped so that requests in progress are served

  Scenario Outline: Connections are dropped in the order of what their callers lose
    Guards against callers that lose a request in progress to other clients.
    Given the connections
      | name     | phase    | since_s | held_bytes |
      | handled  | handling | 1       | 9000       |
      | body     | body     | 2       | 5000       |
      | large    | body     | 9       | 8000       |
      | head     | head     | 4       | 100        |
      | old-head | head     | 3       | 200        |
      | unread   | unread   | 8       | 700        |
      | idle     | idle     | 6       | 0          |
      | old-idle | idle     | 5       | 0          |
    When <connections> connections and <bytes> bytes are too much
    Then <dropped> are dropped

    Examples:
      | connections | bytes | dropped                                             |
      | 0           | 0     | none                                                |
      | 1           | 0     | old-idle                                            |
      | 3           | 0     | old-idle, idle, unread                              |
      | 6           | 0     | old-idle, idle, unread, old-head, head, large       |
      | 20          | 0     | old-idle, idle, unread, old-head, head, large, body |
      | 0           | 1     | unread                                              |
      | 0           | 701   | unread, old-head                                    |
      | 0           | 2000  | unread, old-head, head, large                       |
      | 0           | 99999 | unread, old-head, head, large, body                 |
      | 1           | 800   | old-idle, unread, old-head                          |

  Scenario Outline: The limits of a process follow from its machine
    Guards against limits that a deployment reaches in ordinary service, and
    against a leader without descriptors for its workers.
    Given a machine with <memory_mb> MB and <max_fds> descriptors
    Then its clients may hold <connections> connections and <held_mb> MB
    And callers may hold <callers> connections

    Examples:
      | memory_mb | max_fds | connections | callers | held_mb |
      | 0         | 0       | 762         | 508     | 25.0    |
      | 200       | 4100    | 762         | 508     | 25.0    |
      | 300       | 4200    | 1000        | 666     | 37.5    |
      | 552       | 8192    | 2105        | 1403    | 69.0    |
      | 64        | 400     | 40          | 26      | 8.0     |
      | 1         | 1       | 1           | 1       | 0.125   |

  Scenario Outline: A leader has descriptors for all workers beside its clients
    Guards against clients that take the descriptors of connections to workers.
    Given a machine with <memory_mb> MB and <max_fds> descriptors
    Then 3000 connections to workers fit beside those of its clients

    Examples:
      | memory_mb | max_fds |
      | 200       | 4100    |
      | 552       | 4100    |
      | 552       | 8192    |
