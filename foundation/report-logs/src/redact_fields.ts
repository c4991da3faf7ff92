/** Redacts secrets in the fields of an event, before its text is created from them. */

import type { LogFields } from "@dandelionbank/log-events";

const REDACTED = "[redacted]";
const SECRET_NAME =
  /secret|token$|password|authorization|credential|privateKey/i;

export type Redactor = (fields: LogFields) => LogFields;

/**
 * Creates a redactor that replaces text fields with the name of a secret, and the
 * given secrets wherever they occur in other fields.
 */
export function createRedactor(secrets: readonly string[]): Redactor {
  const known = secrets.filter((secret) => secret !== "");
  return (fields) =>
    Object.fromEntries(
      Object.entries(fields).map(([name, value]) => [
        name,
        typeof value === "string" ? redactText({ name, value, known }) : value,
      ]),
    );
}

interface NamedText {
  readonly name: string;
  readonly value: string;
  readonly known: readonly string[];
}

function redactText({ name, value, known }: NamedText): string {
  if (SECRET_NAME.test(name)) return REDACTED;
  return known.reduce(
    (text, secret) => text.replaceAll(secret, REDACTED),
    value,
  );
}
