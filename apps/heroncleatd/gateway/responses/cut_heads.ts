/** A head up to its blank line, without any framing. */
const HEAD = "HTTP/1.1 200 OK\r\nx-digest: d\r\nx-attempt: a\r\n" +
  "Content-Type: text/event-stream\r\n";

/** What an upstream sends before it ends the connection, by where that is. */
const SHAPES: Record<string, string> = {
  "in its status line": "HTTP/1.1 20",
  "after its status line": "HTTP/1.1 200 OK\r\n",
  "in the name of a header": `${HEAD}Cont`,
  "in the digits of its length": `${HEAD}Content-Length: 1`,
  "after its length": `${HEAD}Content-Length: 0\r\n`,
  "before its blank line": HEAD,
  "inside its blank line": `${HEAD}\r`,
  "in a folded header": `${HEAD}x-long: a\r\n b`,
  "after a folded header": `${HEAD}x-long: a\r\n b\r\n`,
  "after lines that end with a line feed alone": HEAD.replaceAll("\r\n", "\n"),
  "after an interim 100": `HTTP/1.1 100 Continue\r\n\r\n${HEAD}`,
  "after an interim 103 with the same headers": `${
    HEAD.replace("200 OK", "103 Early Hints")
  }\r\n${HEAD}`,
  "after an interim 103 alone": HEAD.replace("200 OK", "103 Early Hints") +
    "\r\n",
  "after a 101 alone": HEAD.replace("200 OK", "101 Switching Protocols") +
    "\r\n",
  "after a 101 that upgrades": `${
    HEAD.replace("200 OK", "101 Switching Protocols")
  }Connection: Upgrade\r\nUpgrade: x\r\n\r\n`,
};

/** Heads for tests whose upstream stops within them. */
export const cutHeads = { HEAD, SHAPES };
