"""The program that brings the fleet to what operators published."""
