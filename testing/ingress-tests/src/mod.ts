/** Tests of an entry on the platform; nothing is exported. */

export {};
