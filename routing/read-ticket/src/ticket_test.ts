import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import {
  formatAttemptId,
  formatTicket,
  parseAttemptId,
  parseRequestKey,
  ticketSigningText,
} from "./mod.ts";
import type { Ticket } from "./mod.ts";

const WORD = fc.stringMatching(/^[A-Za-z0-9_-]{1,40}$/);

const TICKET: fc.Arbitrary<Ticket> = fc.record({
  incarnation: WORD,
  revision: fc.nat(),
  issuedAtMs: fc.nat(),
  validityMs: fc.nat(),
}).map(({ validityMs, ...ticket }) => ({
  ...ticket,
  expiresAtMs: ticket.issuedAtMs + validityMs,
}));

test("Parses every part of a formatted key", () => {
  fc.assert(
    fc.property(TICKET, WORD, WORD, (ticket, signature, suffix) => {
      const text = `${formatTicket(ticket, signature)}/${suffix}`;
      assert.deepEqual(parseRequestKey(text), { ticket, signature, suffix });
    }),
    { seed: 1 },
  );
});

test("Rejects any other text as a key without throwing", () => {
  const broken = [
    "",
    "/",
    "abc",
    "1.a.0.0.0.s",
    "1.a.0.0.0.s/",
    "2.a.0.0.0.s/x",
    "1.a.0.9.1.s/x",
    "1.a.0.0.s/x",
    "1.a.-1.0.0.s/x",
    "1.a b.0.0.0.s/x",
    "1.a.0.0.0.s/\u00e9",
    `1.a.0.0.0.s/${"x".repeat(600)}`,
  ];
  for (const text of broken) assert.equal(parseRequestKey(text), undefined);
  fc.assert(
    fc.property(fc.string(), (text) => {
      assert.equal(parseRequestKey(`${text}/x`), undefined);
    }),
    { seed: 1 },
  );
});

test("The signed text differs between organisations", () => {
  const ticket = {
    incarnation: "i",
    revision: 1,
    issuedAtMs: 0,
    expiresAtMs: 9,
  };
  assert.notEqual(
    ticketSigningText(ticket, "one"),
    ticketSigningText(ticket, "other"),
  );
});

test("Parses formatted attempt ids and rejects other texts", () => {
  const parts = { entryIncarnation: "a.b-c", number: 42 };
  assert.deepEqual(parseAttemptId(formatAttemptId(parts)), parts);
  for (const text of ["", "a", ".1", "a.", "a.0", "a.01", "a.-1", "a.x"]) {
    assert.equal(parseAttemptId(text), undefined);
  }
});
