export * from "./address_choice.ts";
