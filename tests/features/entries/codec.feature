Feature: Encoding of peer messages, and refusal of malformed input

  Scenario: Every message type arrives as it was sent
    Then every peer message decodes to what was encoded

  Scenario: Random bytes are refused as a protocol error
    Then random peer bytes decode to a message or a protocol error

  Scenario: Damaged messages are refused as a protocol error
    Then a damaged peer message decodes to a message or a protocol error

  Scenario: A small packed frame cannot expand without bound
    Then a packed peer frame of zero runs is refused

  Scenario: Frames above the size bound are refused before they are read
    Then a peer frame longer than its limit is refused

  Scenario: An error keeps its type on the way to another instance
    Guards against error types of other packages that share a code: a job that
    had ended was answered with status 500 instead of its stored state.
    Then every error of the hierarchy keeps type, status and ran between peers
