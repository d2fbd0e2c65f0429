export * from "./rendezvous.ts";
